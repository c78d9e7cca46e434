import com.sun.net.httpserver.HttpExchange;
import java.io.ByteArrayOutputStream;
import java.io.DataOutputStream;
import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Base64;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/** The platform's metadata store: topics with partitions, conditional appends, long polls, newest record of each key. */
final class Store {
    private static final int PAGE_RECORDS = 500;
    private static final int PAGE_BYTES = 1 << 20;
    private static final int REMEMBERED_APPENDS = 5;

    private static final class Producer {
        long epoch;
        /** Last sequence number of the epoch, or null if any may follow. */
        Long sequence;
        final TreeMap<Long, String> answers = new TreeMap<>();
    }

    private static final class Partition {
        final List<byte[]> records = new ArrayList<>();
        final Map<String, Producer> producers = new HashMap<>();
        /** Offset of the newest record of each key, in the order of the keys. */
        final TreeMap<String, Integer> newest = new TreeMap<>();
    }

    private final Map<String, Partition> partitions = new HashMap<>();

    private Partition partition(String topic, int part) {
        return partitions.computeIfAbsent(topic + "/" + part, key -> new Partition());
    }

    /** Writes as the operator and the workers do; a null value drops the key. */
    synchronized void put(String topic, String key, String value) {
        byte[] name = key.getBytes(StandardCharsets.UTF_8);
        byte[] content = value == null ? new byte[0] : value.getBytes(StandardCharsets.UTF_8);
        ByteBuffer record = ByteBuffer.allocate(1 + name.length + content.length);
        record.put((byte) name.length).put(name).put(content);
        add(topic, partition(topic, 0), record.array());
        notifyAll();
    }

    private void add(String topic, Partition partition, byte[] record) {
        partition.records.add(record);
        if (!topic.startsWith("keyed.") || record.length == 0) return;
        int length = record[0] & 0xff;
        if (record.length < 1 + length) return;
        String key = new String(record, 1, length, StandardCharsets.UTF_8);
        if (record.length == 1 + length) partition.newest.remove(key);
        else partition.newest.put(key, partition.records.size() - 1);
    }

    void handle(HttpExchange exchange, Map<String, String> query) throws IOException, InterruptedException {
        String topic = query.getOrDefault("topic", "");
        int part = Integer.parseInt(query.getOrDefault("part", "0"));
        switch (exchange.getRequestURI().getPath()) {
            case "/v1/log-append" -> append(exchange, topic, part, query);
            case "/v1/log-read" -> read(exchange, topic, part, query);
            case "/v1/log-newest" -> newest(exchange, topic, part, query);
            default -> Web.answer(exchange, 404, "{}");
        }
    }

    private void append(HttpExchange exchange, String topic, int part, Map<String, String> query) throws IOException {
        byte[] body = exchange.getRequestBody().readAllBytes();
        if (topic.equals("keyed.op") || topic.equals("keyed.servers")) {
            Web.answer(exchange, 403, "{}");
            return;
        }
        List<byte[]> records = new ArrayList<>();
        ByteBuffer buffer = ByteBuffer.wrap(body);
        while (buffer.remaining() >= 4) {
            byte[] record = new byte[buffer.getInt()];
            buffer.get(record);
            records.add(record);
        }
        int status = 200;
        String answer;
        synchronized (this) {
            Partition partition = partition(topic, part);
            int end = partition.records.size();
            String refused = null;
            if (query.containsKey("at") && Long.parseLong(query.get("at")) != end) {
                status = 412;
                refused = "{\"end_offset\":" + end + "}";
            } else if (query.containsKey("producer_id")) {
                Producer producer = partition.producers.computeIfAbsent(query.get("producer_id"), id -> new Producer());
                long epoch = Long.parseLong(query.getOrDefault("epoch", "0"));
                if (epoch < producer.epoch) {
                    status = 409;
                    refused = "{\"reason\":\"fenced\"}";
                } else {
                    if (epoch > producer.epoch) {
                        producer.sequence = null;
                        producer.answers.clear();
                    }
                    producer.epoch = epoch;
                    if (!records.isEmpty() && query.containsKey("seq")) {
                        long sequence = Long.parseLong(query.get("seq"));
                        String earlier = producer.answers.get(sequence);
                        long expected = producer.sequence == null ? sequence : producer.sequence + 1;
                        if (earlier != null) {
                            refused = earlier;
                        } else if (sequence != expected) {
                            status = 409;
                            refused = "{\"reason\":\"seq\",\"seq\":" + expected + "}";
                        } else {
                            producer.sequence = sequence;
                            producer.answers.put(
                                    sequence, "{\"offset\":" + end + ",\"end_offset\":" + (end + records.size()) + "}");
                            if (producer.answers.size() > REMEMBERED_APPENDS) producer.answers.pollFirstEntry();
                        }
                    }
                }
            }
            if (refused != null) {
                answer = refused;
            } else {
                for (byte[] record : records) add(topic, partition, record);
                answer = "{\"offset\":" + end + ",\"end_offset\":" + partition.records.size() + "}";
                notifyAll();
            }
        }
        Web.answer(exchange, status, answer);
    }

    private void read(HttpExchange exchange, String topic, int part, Map<String, String> query)
            throws IOException, InterruptedException {
        int from = Integer.parseInt(query.getOrDefault("from", "0"));
        long until = System.nanoTime() + Long.parseLong(query.getOrDefault("wait_ms", "0")) * 1_000_000L;
        int most = Integer.parseInt(query.getOrDefault("max_kb", "1024")) * 1024;
        ByteArrayOutputStream bytes = new ByteArrayOutputStream();
        synchronized (this) {
            Partition partition = partition(topic, part);
            while (partition.records.size() <= from) {
                long left = (until - System.nanoTime()) / 1_000_000L;
                if (left <= 0) break;
                wait(left);
            }
            DataOutputStream out = new DataOutputStream(bytes);
            out.writeLong(partition.records.size());
            out.writeLong(0);
            for (int i = from; i < partition.records.size() && bytes.size() < most; i++) {
                out.writeInt(partition.records.get(i).length);
                out.write(partition.records.get(i));
            }
        }
        Web.answer(exchange, 200, "application/octet-stream", bytes.toByteArray());
    }

    private void newest(HttpExchange exchange, String topic, int part, Map<String, String> query) throws IOException {
        List<Object> items = new ArrayList<>();
        int end;
        boolean more = false;
        synchronized (this) {
            Partition partition = partition(topic, part);
            end = partition.records.size();
            String after = query.get("depends_on");
            Map<String, Integer> rest = after == null ? partition.newest : partition.newest.tailMap(after, false);
            int bytes = 0;
            for (Map.Entry<String, Integer> entry : rest.entrySet()) {
                if (items.size() == PAGE_RECORDS || bytes > PAGE_BYTES) {
                    more = true;
                    break;
                }
                byte[] record = partition.records.get(entry.getValue());
                int length = 1 + (record[0] & 0xff);
                byte[] value = java.util.Arrays.copyOfRange(record, length, record.length);
                bytes += value.length;
                items.add(Json.map(
                        "key", entry.getKey(),
                        "value", Base64.getEncoder().encodeToString(value),
                        "offset", (long) entry.getValue()));
            }
        }
        Web.answer(exchange, 200, Json.write(Json.map("items", items, "has_more", more, "end_offset", (long) end)));
    }
}
