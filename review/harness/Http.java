package review;

import java.io.ByteArrayOutputStream;
import java.io.EOFException;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.net.URLDecoder;
import java.nio.charset.StandardCharsets;
import java.util.HashMap;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;

/** A small HTTP/1.1 server and client on the loopback address, one thread per connection. */
final class Http {
    record Request(String method, String path, Map<String, String> query, Map<String, String> headers, byte[] body) {
        String text() {
            return new String(body, StandardCharsets.UTF_8);
        }
    }

    record Response(int status, byte[] body, Map<String, String> headers) {
        Response(int status, byte[] body) {
            this(status, body, Map.of());
        }

        static Response json(int status, Object body) {
            return new Response(status, Json.write(body).getBytes(StandardCharsets.UTF_8));
        }

        String text() {
            return new String(body, StandardCharsets.UTF_8);
        }
    }

    interface Handler {
        /** Returns the answer, or null to send none and leave the connection silent. */
        Response handle(Request request) throws Exception;
    }

    private final ServerSocket server;
    private final Handler handler;
    private final Set<Socket> open = ConcurrentHashMap.newKeySet();

    /** Connections of earlier lives of the machine; what arrives there is reset. */
    private volatile int life = 0;
    private volatile boolean dark = false;

    Http(Handler handler) throws IOException {
        this.handler = handler;
        server = new ServerSocket(0, 512, InetAddress.getByName("127.0.0.1"));
        daemon(this::accept);
    }

    String address() {
        return "127.0.0.1:" + server.getLocalPort();
    }

    /** The machine loses power: nothing is read and nothing is answered any more. */
    void losePower() {
        dark = true;
    }

    /** The machine starts again; data on connections of earlier lives is answered with a reset, and never executed. */
    synchronized void powerOn() {
        life++;
        dark = false;
    }

    private void accept() {
        while (true) {
            try {
                Socket socket = server.accept();
                int born = life;
                boolean late = dark;
                daemon(() -> serve(socket, born, late));
            } catch (IOException e) {
                return;
            }
        }
    }

    private void serve(Socket socket, int born, boolean connectedInTheDark) {
        open.add(socket);
        try (socket) {
            socket.setTcpNoDelay(true);
            InputStream in = new java.io.BufferedInputStream(socket.getInputStream());
            OutputStream out = socket.getOutputStream();
            while (true) {
                Request request = read(in);
                if (request == null) return;
                while (dark) Thread.sleep(5);
                if (life != born || connectedInTheDark) {
                    socket.setSoLinger(true, 0);
                    return;
                }
                Response response = handler.handle(request);
                while (dark) Thread.sleep(5);
                if (life != born) {
                    // As on a machine that has started again: the connection is reset when more arrives on it.
                    if (in.read() >= 0) socket.setSoLinger(true, 0);
                    return;
                }
                if (response == null) {
                    // Silent for good: only a time-out of the client shows it.
                    while (in.read() >= 0) continue;
                    return;
                }
                write(out, response);
            }
        } catch (Exception e) {
            // The client has left.
        } finally {
            open.remove(socket);
        }
    }

    private static void write(OutputStream out, Response response) throws IOException {
        StringBuilder head = new StringBuilder("HTTP/1.1 " + response.status() + " -\r\n");
        head.append("Content-Type: application/json\r\nContent-Length: ").append(response.body().length).append("\r\n");
        response.headers().forEach((name, value) -> head.append(name).append(": ").append(value).append("\r\n"));
        head.append("\r\n");
        ByteArrayOutputStream all = new ByteArrayOutputStream();
        all.write(head.toString().getBytes(StandardCharsets.ISO_8859_1));
        all.write(response.body());
        out.write(all.toByteArray());
        out.flush();
    }

    private static String line(InputStream in) throws IOException {
        StringBuilder line = new StringBuilder();
        for (int c = in.read(); c != '\n'; c = in.read()) {
            if (c < 0) return line.length() == 0 ? null : line.toString();
            if (c != '\r') line.append((char) c);
        }
        return line.toString();
    }

    private static Map<String, String> headers(InputStream in) throws IOException {
        Map<String, String> headers = new HashMap<>();
        for (String line = line(in); line != null && !line.isEmpty(); line = line(in)) {
            int colon = line.indexOf(':');
            headers.put(line.substring(0, colon).trim().toLowerCase(), line.substring(colon + 1).trim());
        }
        return headers;
    }

    private static byte[] body(InputStream in, int length) throws IOException {
        byte[] body = in.readNBytes(length);
        if (body.length < length) throw new EOFException();
        return body;
    }

    private static Request read(InputStream in) throws IOException {
        String first = line(in);
        if (first == null) return null;
        String[] words = first.split(" ");
        Map<String, String> headers = headers(in);
        byte[] body = body(in, Integer.parseInt(headers.getOrDefault("content-length", "0")));
        String[] target = words[1].split("\\?", 2);
        Map<String, String> query = new HashMap<>();
        if (target.length > 1) {
            for (String pair : target[1].split("&")) {
                String[] parts = pair.split("=", 2);
                query.put(parts[0], URLDecoder.decode(parts.length > 1 ? parts[1] : "", StandardCharsets.UTF_8));
            }
        }
        return new Request(words[0], target[0], query, headers, body);
    }

    /** Sends one request; returns null if no whole answer arrived within {@code timeoutMillis}. */
    static Response call(String address, String method, String path, Map<String, String> headers, String body, int timeoutMillis) {
        String host = address.substring(0, address.indexOf(':'));
        int port = Integer.parseInt(address.substring(address.indexOf(':') + 1));
        byte[] bytes = body == null ? new byte[0] : body.getBytes(StandardCharsets.UTF_8);
        try (Socket socket = new Socket()) {
            socket.connect(new java.net.InetSocketAddress(host, port), timeoutMillis);
            socket.setSoTimeout(timeoutMillis);
            StringBuilder head = new StringBuilder(method + " " + path + " HTTP/1.1\r\nConnection: close\r\n");
            headers.forEach((name, value) -> head.append(name).append(": ").append(value).append("\r\n"));
            head.append("Content-Type: application/json\r\nContent-Length: ").append(bytes.length).append("\r\n\r\n");
            OutputStream out = socket.getOutputStream();
            out.write(head.toString().getBytes(StandardCharsets.ISO_8859_1));
            out.write(bytes);
            out.flush();
            InputStream in = new java.io.BufferedInputStream(socket.getInputStream());
            String status = line(in);
            if (status == null) return null;
            Map<String, String> answered = headers(in);
            String length = answered.get("content-length");
            byte[] content = length == null ? in.readAllBytes() : body(in, Integer.parseInt(length));
            return new Response(Integer.parseInt(status.split(" ")[1]), content, answered);
        } catch (IOException e) {
            return null;
        }
    }

    static void daemon(Runnable task) {
        Thread thread = new Thread(task);
        thread.setDaemon(true);
        thread.start();
    }
}
