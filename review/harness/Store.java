package review;

import java.io.ByteArrayOutputStream;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Base64;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/** The platform's store: a log of keyed records with conditional appends. Nothing expires while a case runs. */
final class Store {
    static final int MAX_RECORD_BYTES = 262_144;
    static final int MAX_CALL_BYTES = 2_097_152;
    private static final int ANSWER_MILLIS = 4;
    private static final int APPEND_MILLIS = 3;
    private static final int PAGE_RECORDS = 500;
    private static final int PAGE_BYTES = 1_000_000;

    private static final class Producer {
        long epoch = -1;
        long lastSeq = -1;
        final Map<Long, Http.Response> answers = new LinkedHashMap<>();
    }

    private static final class Partition {
        final List<byte[]> records = new ArrayList<>();
        final Map<String, Producer> producers = new HashMap<>();
    }

    private final Map<String, Partition> partitions = new HashMap<>();
    private final Record record;
    private final Http http;

    /** While true, the store is down: every call gets 503, and nothing is done. */
    volatile boolean down = false;

    /** Appends that were refused because a record or a call is too long. */
    volatile int refusedForSize = 0;

    /** Bytes of the longest record of all appends. */
    volatile int longestRecord = 0;

    Store(Record record) throws java.io.IOException {
        this.record = record;
        http = new Http(this::handle);
    }

    String address() {
        return http.address();
    }

    private Partition partition(String topic, String part) {
        return partitions.computeIfAbsent(topic + "/" + part, key -> new Partition());
    }

    private Http.Response handle(Http.Request request) throws InterruptedException {
        Thread.sleep(ANSWER_MILLIS);
        if (down) return Http.Response.json(503, Map.of("reason", "down"));
        return switch (request.path()) {
            case "/v1/log-append" -> append(request);
            case "/v1/log-read" -> read(request);
            case "/v1/log-newest" -> newest(request);
            default -> Http.Response.json(404, Map.of());
        };
    }

    /** Writes a record of the operator or of a worker; a null value deletes the key. */
    synchronized void put(String topic, String key, Object value) {
        byte[] name = key.getBytes(StandardCharsets.UTF_8);
        byte[] content = value == null ? new byte[0] : Json.write(value).getBytes(StandardCharsets.UTF_8);
        ByteBuffer bytes = ByteBuffer.allocate(1 + name.length + content.length);
        bytes.put((byte) name.length).put(name).put(content);
        partition(topic, "0").records.add(bytes.array());
        notifyAll();
    }

    private Http.Response append(Http.Request request) throws InterruptedException {
        Thread.sleep(APPEND_MILLIS);
        synchronized (this) {
            Partition partition = partition(request.query().get("topic"), request.query().get("part"));
            List<byte[]> records = new ArrayList<>();
            ByteBuffer body = ByteBuffer.wrap(request.body());
            while (body.remaining() >= 4) {
                byte[] one = new byte[body.getInt()];
                body.get(one);
                records.add(one);
            }
            int longest = records.stream().mapToInt(one -> one.length).max().orElse(0);
            longestRecord = Math.max(longestRecord, longest);
            if (longest > MAX_RECORD_BYTES || request.body().length > MAX_CALL_BYTES) {
                refusedForSize++;
                if (refusedForSize <= 5 || refusedForSize % 100 == 0) {
                    record.line("store refuses append " + refusedForSize + " for its size: longest record " + longest
                        + " bytes, call " + request.body().length + " bytes");
                }
                return Http.Response.json(413, Map.of("reason", "size"));
            }
            String at = request.query().get("at");
            if (at != null && Long.parseLong(at) != partition.records.size()) {
                return Http.Response.json(412, Map.of("end_offset", partition.records.size()));
            }
            String name = request.query().get("producer_id");
            Producer producer = name == null ? null : partition.producers.computeIfAbsent(name, key -> new Producer());
            if (producer != null) {
                long epoch = Long.parseLong(request.query().getOrDefault("epoch", "0"));
                if (epoch < producer.epoch) return Http.Response.json(409, Map.of("reason", "fenced"));
                if (epoch > producer.epoch) {
                    producer.lastSeq = -1;
                    producer.answers.clear();
                }
                producer.epoch = epoch;
                if (!records.isEmpty()) {
                    long seq = Long.parseLong(request.query().getOrDefault("seq", "0"));
                    Http.Response repeated = producer.answers.get(seq);
                    if (repeated != null) return repeated;
                    if (producer.lastSeq >= 0 && seq != producer.lastSeq + 1) {
                        return Http.Response.json(409, Map.of("reason", "seq", "seq", producer.lastSeq + 1));
                    }
                    producer.lastSeq = seq;
                }
            }
            Map<String, Object> offsets = new LinkedHashMap<>();
            offsets.put("offset", partition.records.size());
            partition.records.addAll(records);
            offsets.put("end_offset", partition.records.size());
            notifyAll();
            Http.Response answer = Http.Response.json(200, offsets);
            if (producer != null && !records.isEmpty()) {
                producer.answers.put(producer.lastSeq, answer);
                producer.answers.remove(producer.lastSeq - 5);
            }
            return answer;
        }
    }

    private synchronized Http.Response read(Http.Request request) throws InterruptedException {
        Partition partition = partition(request.query().get("topic"), request.query().get("part"));
        int from = Integer.parseInt(request.query().getOrDefault("from", "0"));
        long until = Record.millis() + Long.parseLong(request.query().getOrDefault("wait_ms", "0"));
        while (partition.records.size() <= from && !down) {
            long left = until - Record.millis();
            if (left <= 0) break;
            wait(Math.min(left, 50));
        }
        if (down) return Http.Response.json(503, Map.of("reason", "down"));
        ByteArrayOutputStream page = new ByteArrayOutputStream();
        page.writeBytes(ByteBuffer.allocate(16).putLong(partition.records.size()).putLong(0).array());
        for (int i = from; i < partition.records.size() && page.size() < PAGE_BYTES; i++) {
            byte[] one = partition.records.get(i);
            page.writeBytes(ByteBuffer.allocate(4).putInt(one.length).array());
            page.writeBytes(one);
        }
        return new Http.Response(200, page.toByteArray());
    }

    private synchronized Http.Response newest(Http.Request request) {
        Partition partition = partition(request.query().get("topic"), request.query().get("part"));
        Map<String, Object[]> newest = new java.util.TreeMap<>();
        for (int offset = 0; offset < partition.records.size(); offset++) {
            byte[] one = partition.records.get(offset);
            int length = one[0] & 0xff;
            String key = new String(one, 1, length, StandardCharsets.UTF_8);
            byte[] value = java.util.Arrays.copyOfRange(one, 1 + length, one.length);
            if (value.length == 0) newest.remove(key);
            else newest.put(key, new Object[] {value, offset});
        }
        String after = request.query().get("depends_on");
        List<Object> items = new ArrayList<>();
        long bytes = 0;
        boolean more = false;
        for (Map.Entry<String, Object[]> entry : newest.entrySet()) {
            if (after != null && entry.getKey().compareTo(after) <= 0) continue;
            if (items.size() == PAGE_RECORDS || bytes > PAGE_BYTES) {
                more = true;
                break;
            }
            byte[] value = (byte[]) entry.getValue()[0];
            bytes += value.length;
            items.add(Map.of("key", entry.getKey(), "value", Base64.getEncoder().encodeToString(value),
                "offset", entry.getValue()[1]));
        }
        return Http.Response.json(200, Map.of("items", items, "has_more", more, "end_offset", partition.records.size()));
    }
}
