import java.io.BufferedInputStream;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.InputStream;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;

/** Sends one HTTP/1.1 request on a connection of its own. */
final class Client {
    static final String HOST = "queue.example";
    static final String PREFIX = "/queue/";

    /** A response, with status 0 if none arrived in time. */
    static final class Reply {
        final int status;
        final String body;

        Reply(int status, String body) {
            this.status = status;
            this.body = body;
        }

        @Override
        public String toString() {
            return status == 0 ? "no answer" : status + (body.isEmpty() ? "" : " " + body);
        }
    }

    private Client() {
    }

    static Reply call(int port, String method, String id, String body, int deadlineMs) {
        try (Socket socket = new Socket()) {
            socket.connect(new InetSocketAddress("127.0.0.1", port), deadlineMs);
            socket.setSoTimeout(deadlineMs);
            byte[] content = body == null ? new byte[0] : body.getBytes(StandardCharsets.UTF_8);
            String head = method + " " + PREFIX + id + " HTTP/1.1\r\nHost: " + HOST + "\r\nConnection: close\r\n"
                + "X-Anvilbarrow-Request-Deadline: " + deadlineMs + "\r\n"
                + (body == null ? "" : "Content-Type: application/json\r\nContent-Length: " + content.length + "\r\n") + "\r\n";
            socket.getOutputStream().write(head.getBytes(StandardCharsets.US_ASCII));
            socket.getOutputStream().write(content);
            socket.getOutputStream().flush();
            return read(new BufferedInputStream(socket.getInputStream()));
        } catch (IOException e) {
            return new Reply(0, "");
        }
    }

    private static Reply read(InputStream in) throws IOException {
        String statusLine = line(in);
        if (statusLine.length() < 12) return new Reply(0, "");
        int status = Integer.parseInt(statusLine.substring(9, 12));
        int length = -1;
        boolean chunked = false;
        for (String header = line(in).toLowerCase(); !header.isEmpty(); header = line(in).toLowerCase()) {
            if (header.startsWith("content-length:")) length = Integer.parseInt(header.substring(15).trim());
            if (header.startsWith("transfer-encoding:") && header.contains("chunked")) chunked = true;
        }
        ByteArrayOutputStream body = new ByteArrayOutputStream();
        if (chunked) {
            for (int size = Integer.parseInt(line(in).trim(), 16); size > 0; size = Integer.parseInt(line(in).trim(), 16)) {
                body.write(in.readNBytes(size));
                line(in);
            }
        } else {
            body.write(length >= 0 ? in.readNBytes(length) : in.readAllBytes());
        }
        return new Reply(status, body.toString(StandardCharsets.UTF_8).trim());
    }

    private static String line(InputStream in) throws IOException {
        StringBuilder out = new StringBuilder();
        for (int c = in.read(); c >= 0 && c != '\n'; c = in.read()) if (c != '\r') out.append((char) c);
        return out.toString();
    }
}
