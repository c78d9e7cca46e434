package review;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/** Parses and writes JSON: objects as maps, arrays as lists, numbers as Long or Double. */
final class Json {
    private final String text;
    private int at;

    private Json(String text) {
        this.text = text;
    }

    static Object parse(String text) {
        Json json = new Json(text);
        return json.value();
    }

    @SuppressWarnings("unchecked")
    static Map<String, Object> object(String text) {
        return (Map<String, Object>) parse(text);
    }

    private char next() {
        while (Character.isWhitespace(text.charAt(at))) at++;
        return text.charAt(at);
    }

    private Object value() {
        switch (next()) {
            case '{':
                return members();
            case '[':
                return elements();
            case '"':
                return string();
            default:
                return literal();
        }
    }

    private Map<String, Object> members() {
        Map<String, Object> members = new LinkedHashMap<>();
        at++;
        while (next() != '}') {
            String key = string();
            next();
            at++; // the colon
            members.put(key, value());
            if (next() == ',') at++;
        }
        at++;
        return members;
    }

    private List<Object> elements() {
        List<Object> elements = new ArrayList<>();
        at++;
        while (next() != ']') {
            elements.add(value());
            if (next() == ',') at++;
        }
        at++;
        return elements;
    }

    private String string() {
        next();
        StringBuilder out = new StringBuilder();
        for (at++; text.charAt(at) != '"'; at++) {
            char c = text.charAt(at);
            if (c != '\\') {
                out.append(c);
                continue;
            }
            c = text.charAt(++at);
            switch (c) {
                case 'n' -> out.append('\n');
                case 't' -> out.append('\t');
                case 'r' -> out.append('\r');
                case 'u' -> {
                    out.append((char) Integer.parseInt(text.substring(at + 1, at + 5), 16));
                    at += 4;
                }
                default -> out.append(c);
            }
        }
        at++;
        return out.toString();
    }

    private Object literal() {
        int from = at;
        while (at < text.length() && "+-.eEtruefalsn0123456789".indexOf(text.charAt(at)) >= 0) at++;
        String word = text.substring(from, at);
        return switch (word) {
            case "true" -> Boolean.TRUE;
            case "false" -> Boolean.FALSE;
            case "null" -> null;
            default -> word.matches("-?\\d+") ? (Object) Long.valueOf(word) : (Object) Double.valueOf(word);
        };
    }

    static String write(Object value) {
        if (value instanceof Map<?, ?> map) {
            List<String> parts = new ArrayList<>();
            map.forEach((key, member) -> parts.add(quote(key.toString()) + ":" + write(member)));
            return "{" + String.join(",", parts) + "}";
        }
        if (value instanceof List<?> list) {
            List<String> parts = new ArrayList<>();
            list.forEach(element -> parts.add(write(element)));
            return "[" + String.join(",", parts) + "]";
        }
        return value instanceof String text ? quote(text) : String.valueOf(value);
    }

    private static String quote(String text) {
        return '"' + text.replace("\\", "\\\\").replace("\"", "\\\"").replace("\n", "\\n") + '"';
    }

    static long number(Map<String, Object> body, String key, long fallback) {
        return body.get(key) instanceof Number number ? number.longValue() : fallback;
    }
}
