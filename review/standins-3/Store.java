import com.sun.net.httpserver.HttpExchange;
import com.sun.net.httpserver.HttpServer;
import java.io.ByteArrayOutputStream;
import java.io.DataOutputStream;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.URLDecoder;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Base64;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.Executors;

/** The platform's store in memory: keyed topics, conditional appends, producers with epochs, and long-polling reads. */
final class Store {
    private static final int ANSWER_MS = 4;
    private static final int APPEND_MS = 3;
    private static final int PAGE_RECORDS = 500;
    private static final int REPEATED_APPENDS = 5;

    private static final class Producer {
        long epoch = -1;
        Long sequence;
        final TreeMap<Long, String> answers = new TreeMap<>();
    }

    static final class Entry {
        final String key;
        final byte[] value;

        Entry(String key, byte[] value) {
            this.key = key;
            this.value = value;
        }
    }

    private static final class Partition {
        final List<Entry> records = new ArrayList<>();
        final Map<String, Producer> producers = new HashMap<>();
    }

    private final Map<String, Partition> partitions = new HashMap<>();
    private final HttpServer server;

    /** Factor by which answers take longer than usual; 1 on a sound store. */
    volatile int slowness = 1;

    Store() throws IOException {
        server = HttpServer.create(new InetSocketAddress("127.0.0.1", 0), 256);
        server.setExecutor(Executors.newCachedThreadPool(Daemon::thread));
        server.createContext("/v1/log-append", e -> answer(e, this::append));
        server.createContext("/v1/log-read", e -> answer(e, this::read));
        server.createContext("/v1/log-newest", e -> answer(e, this::newest));
        server.start();
    }

    String address() {
        return "127.0.0.1:" + server.getAddress().getPort();
    }

    private interface Call {
        Reply run(Map<String, String> query, byte[] body) throws Exception;
    }

    private static final class Reply {
        final int status;
        final byte[] body;

        Reply(int status, byte[] body) {
            this.status = status;
            this.body = body;
        }
    }

    private void answer(HttpExchange exchange, Call call) throws IOException {
        byte[] body = exchange.getRequestBody().readAllBytes();
        Map<String, String> query = new HashMap<>();
        for (String pair : exchange.getRequestURI().getRawQuery().split("&")) {
            String[] sides = pair.split("=", 2);
            query.put(sides[0], URLDecoder.decode(sides[1], StandardCharsets.UTF_8));
        }
        try {
            Reply reply = call.run(query, body);
            Thread.sleep((long) ANSWER_MS * slowness);
            exchange.sendResponseHeaders(reply.status, reply.body.length);
            exchange.getResponseBody().write(reply.body);
        } catch (Exception e) {
            // The caller has gone, or the store is being closed.
        } finally {
            exchange.close();
        }
    }

    private Partition partition(String topic, String part) {
        return partitions.computeIfAbsent(topic + "/" + part, k -> new Partition());
    }

    /** Appends a record as operators and workers do. */
    synchronized void put(String topic, String key, String value) {
        byte[] bytes = value == null ? null : value.getBytes(StandardCharsets.UTF_8);
        partition(topic, "0").records.add(new Entry(key, bytes));
        notifyAll();
    }

    /** Returns the newest value of a key as text, or null. */
    synchronized String newestValue(String topic, String key) {
        List<Entry> records = partition(topic, "0").records;
        for (int i = records.size() - 1; i >= 0; i--) {
            Entry entry = records.get(i);
            if (entry.key.equals(key)) return entry.value == null ? null : new String(entry.value, StandardCharsets.ISO_8859_1);
        }
        return null;
    }

    private static Reply json(int status, Map<String, Object> body) {
        return new Reply(status, Json.write(body).getBytes(StandardCharsets.UTF_8));
    }

    private Reply append(Map<String, String> query, byte[] body) throws Exception {
        Thread.sleep((long) APPEND_MS * slowness);
        synchronized (this) {
            Partition partition = partition(query.get("topic"), query.get("part"));
            if (query.containsKey("at") && Long.parseLong(query.get("at")) != partition.records.size()) {
                return json(412, Map.of("end_offset", (long) partition.records.size()));
            }
            List<Entry> entries = decode(body);
            String name = query.get("producer_id");
            Producer producer = name == null ? null : partition.producers.computeIfAbsent(name, k -> new Producer());
            if (producer != null) {
                long epoch = Long.parseLong(query.get("epoch"));
                if (epoch < producer.epoch) return json(409, Map.of("reason", "fenced"));
                if (epoch > producer.epoch) {
                    producer.epoch = epoch;
                    producer.sequence = null;
                    producer.answers.clear();
                }
                if (!entries.isEmpty() && query.containsKey("seq")) {
                    long sequence = Long.parseLong(query.get("seq"));
                    String repeated = producer.answers.get(sequence);
                    if (repeated != null) return new Reply(200, repeated.getBytes(StandardCharsets.UTF_8));
                    if (producer.sequence != null && sequence != producer.sequence + 1) {
                        return json(409, Map.of("reason", "seq", "seq", producer.sequence + 1));
                    }
                    producer.sequence = sequence;
                }
            }
            Map<String, Object> reply = new LinkedHashMap<>();
            reply.put("offset", (long) partition.records.size());
            partition.records.addAll(entries);
            reply.put("end_offset", (long) partition.records.size());
            if (producer != null && !entries.isEmpty() && producer.sequence != null) {
                producer.answers.put(producer.sequence, Json.write(reply));
                while (producer.answers.size() > REPEATED_APPENDS) producer.answers.pollFirstEntry();
            }
            notifyAll();
            return json(200, reply);
        }
    }

    private static List<Entry> decode(byte[] body) {
        ByteBuffer buffer = ByteBuffer.wrap(body);
        List<Entry> entries = new ArrayList<>();
        while (buffer.remaining() >= 4) {
            byte[] record = new byte[buffer.getInt()];
            buffer.get(record);
            int keyLength = record[0] & 0xff;
            String key = new String(record, 1, keyLength, StandardCharsets.UTF_8);
            int valueLength = record.length - 1 - keyLength;
            byte[] value = new byte[valueLength];
            System.arraycopy(record, 1 + keyLength, value, 0, valueLength);
            entries.add(new Entry(key, valueLength == 0 ? null : value));
        }
        return entries;
    }

    private Reply read(Map<String, String> query, byte[] body) throws Exception {
        int from = Integer.parseInt(query.get("from"));
        long until = System.nanoTime() + Long.parseLong(query.getOrDefault("wait_ms", "0")) * 1_000_000;
        ByteArrayOutputStream bytes = new ByteArrayOutputStream();
        synchronized (this) {
            Partition partition = partition(query.get("topic"), query.get("part"));
            while (partition.records.size() <= from) {
                long leftMs = (until - System.nanoTime()) / 1_000_000;
                if (leftMs <= 0) break;
                wait(leftMs);
            }
            DataOutputStream out = new DataOutputStream(bytes);
            out.writeLong(partition.records.size());
            out.writeLong(0);
            for (Entry entry : partition.records.subList(Math.min(from, partition.records.size()), partition.records.size())) {
                byte[] key = entry.key.getBytes(StandardCharsets.UTF_8);
                byte[] value = entry.value == null ? new byte[0] : entry.value;
                out.writeInt(1 + key.length + value.length);
                out.writeByte(key.length);
                out.write(key);
                out.write(value);
            }
        }
        return new Reply(200, bytes.toByteArray());
    }

    private synchronized Reply newest(Map<String, String> query, byte[] body) {
        Partition partition = partition(query.get("topic"), query.get("part"));
        TreeMap<String, Integer> offsets = new TreeMap<>();
        for (int i = 0; i < partition.records.size(); i++) {
            Entry entry = partition.records.get(i);
            if (entry.value == null) offsets.remove(entry.key);
            else offsets.put(entry.key, i);
        }
        Map<String, Integer> rest = query.containsKey("depends_on") ? offsets.tailMap(query.get("depends_on"), false) : offsets;
        List<Object> items = new ArrayList<>();
        for (Map.Entry<String, Integer> found : rest.entrySet()) {
            if (items.size() == PAGE_RECORDS) break;
            Map<String, Object> item = new LinkedHashMap<>();
            item.put("key", found.getKey());
            item.put("value", Base64.getEncoder().encodeToString(partition.records.get(found.getValue()).value));
            item.put("offset", (long) found.getValue());
            items.add(item);
        }
        Map<String, Object> reply = new LinkedHashMap<>();
        reply.put("items", items);
        reply.put("has_more", rest.size() > items.size());
        reply.put("end_offset", (long) partition.records.size());
        return json(200, reply);
    }

    void close() {
        server.stop(0);
    }
}
