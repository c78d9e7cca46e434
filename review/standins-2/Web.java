import com.sun.net.httpserver.HttpExchange;
import com.sun.net.httpserver.HttpServer;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.InputStream;
import java.net.BindException;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.InetAddress;
import java.net.Socket;
import java.net.URLDecoder;
import java.nio.charset.StandardCharsets;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Locale;
import java.util.Map;
import java.util.Random;
import java.util.Set;
import java.util.concurrent.Executors;

/** HTTP servers of the stand-ins, and a client that sends each call on a connection of its own. */
final class Web {
    static final String HOST = "127.0.0.1";
    private static final int LOWEST_PORT = 15_000;
    private static final int HIGHEST_PORT = 32_000;
    private static final Random RANDOM = new Random();
    private static final Set<Integer> GIVEN = new HashSet<>();

    private Web() {}

    interface Handler {
        void handle(HttpExchange exchange, Map<String, String> query) throws Exception;
    }

    /** An answer of the system; status 0 stands for none, with the reason in the body. */
    record Answer(int status, String body) {}

    static HttpServer serve(int port, Handler handler) throws IOException {
        HttpServer server = HttpServer.create(new InetSocketAddress(HOST, port), 1024);
        server.setExecutor(Executors.newCachedThreadPool(task -> {
            Thread thread = new Thread(task, "stand-in");
            thread.setDaemon(true);
            return thread;
        }));
        server.createContext("/", exchange -> {
            try {
                handler.handle(exchange, query(exchange.getRequestURI().getRawQuery()));
            } catch (IOException gone) {
                // The caller has left.
            } catch (Exception e) {
                e.printStackTrace();
                answer(exchange, 500, "{}");
            } finally {
                exchange.close();
            }
        });
        server.start();
        return server;
    }

    /** Returns a free port below those that the system gives to outgoing connections. */
    static synchronized int freePort() throws IOException {
        for (int attempt = 0; attempt < 1_000; attempt++) {
            int port = LOWEST_PORT + RANDOM.nextInt(HIGHEST_PORT - LOWEST_PORT);
            if (!GIVEN.add(port)) continue;
            try (ServerSocket socket = new ServerSocket(port, 1, InetAddress.getByName(HOST))) {
                return socket.getLocalPort();
            } catch (BindException taken) {
                // Another port may be free.
            }
        }
        throw new IOException("no free port was found");
    }

    private static Map<String, String> query(String text) {
        Map<String, String> query = new HashMap<>();
        if (text == null) return query;
        for (String pair : text.split("&")) {
            int mark = pair.indexOf('=');
            if (mark < 0) continue;
            query.put(pair.substring(0, mark), URLDecoder.decode(pair.substring(mark + 1), StandardCharsets.UTF_8));
        }
        return query;
    }

    static void answer(HttpExchange exchange, int status, String body) throws IOException {
        answer(exchange, status, "application/json", body.getBytes(StandardCharsets.UTF_8));
    }

    static void answer(HttpExchange exchange, int status, String type, byte[] body) throws IOException {
        exchange.getResponseHeaders().set("Content-Type", type);
        exchange.sendResponseHeaders(status, body.length == 0 ? -1 : body.length);
        exchange.getResponseBody().write(body);
        exchange.close();
    }

    /** Sends one call of a client to the process that listens on [port], and waits [deadlineMs] for the answer. */
    static Answer call(int port, String method, String path, String host, String body, int deadlineMs) {
        byte[] content = body == null ? new byte[0] : body.getBytes(StandardCharsets.UTF_8);
        String head = method + " " + path + " HTTP/1.1\r\nHost: " + host + "\r\nConnection: close\r\n"
                + "X-Anvilbarrow-Request-Deadline: " + deadlineMs + "\r\n"
                + (body == null ? "" : "Content-Type: application/json\r\n")
                + "Content-Length: " + content.length + "\r\n\r\n";
        try (Socket socket = new Socket()) {
            socket.connect(new InetSocketAddress(HOST, port), deadlineMs);
            socket.setSoTimeout(deadlineMs);
            socket.setTcpNoDelay(true);
            ByteArrayOutputStream message = new ByteArrayOutputStream();
            message.write(head.getBytes(StandardCharsets.US_ASCII));
            message.write(content);
            socket.getOutputStream().write(message.toByteArray());
            return read(socket.getInputStream());
        } catch (IOException e) {
            return new Answer(0, e.toString());
        }
    }

    private static Answer read(InputStream in) throws IOException {
        String status = line(in);
        int length = -1;
        boolean chunked = false;
        for (String header = line(in); !header.isEmpty(); header = line(in)) {
            String lower = header.toLowerCase(Locale.ROOT);
            if (lower.startsWith("content-length:")) length = Integer.parseInt(lower.substring(15).trim());
            if (lower.startsWith("transfer-encoding:")) chunked = lower.contains("chunked");
        }
        byte[] body;
        if (chunked) {
            ByteArrayOutputStream all = new ByteArrayOutputStream();
            for (int size = Integer.parseInt(line(in), 16); size > 0; size = Integer.parseInt(line(in), 16)) {
                all.write(in.readNBytes(size));
                line(in);
            }
            body = all.toByteArray();
        } else {
            body = length >= 0 ? in.readNBytes(length) : in.readAllBytes();
            if (length > body.length) throw new IOException("the answer was cut off");
        }
        return new Answer(Integer.parseInt(status.split(" ")[1]), new String(body, StandardCharsets.UTF_8));
    }

    private static String line(InputStream in) throws IOException {
        StringBuilder line = new StringBuilder();
        while (true) {
            int c = in.read();
            if (c < 0) throw new IOException("the connection ended without a complete answer");
            if (c == '\n') return line.toString().strip();
            line.append((char) c);
        }
    }
}
