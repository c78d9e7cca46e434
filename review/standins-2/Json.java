import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/** Reads and writes JSON as maps, lists, strings, numbers (Long or Double), booleans and null. */
final class Json {
    private final String text;
    private int at;

    private Json(String text) {
        this.text = text;
    }

    static Object parse(String text) {
        Json json = new Json(text);
        Object value = json.value();
        json.skipBlanks();
        if (json.at != text.length()) throw new IllegalArgumentException("text after the JSON value");
        return value;
    }

    @SuppressWarnings("unchecked")
    static Map<String, Object> object(String text) {
        return (Map<String, Object>) parse(text);
    }

    static long number(Map<String, Object> object, String key, long otherwise) {
        return object.get(key) instanceof Number number ? number.longValue() : otherwise;
    }

    static String text(Map<String, Object> object, String key, String otherwise) {
        return object.get(key) instanceof String string ? string : otherwise;
    }

    static Map<String, Object> map(Object... keysAndValues) {
        Map<String, Object> map = new LinkedHashMap<>();
        for (int i = 0; i < keysAndValues.length; i += 2) map.put((String) keysAndValues[i], keysAndValues[i + 1]);
        return map;
    }

    static String write(Object value) {
        StringBuilder out = new StringBuilder();
        write(value, out);
        return out.toString();
    }

    private static void write(Object value, StringBuilder out) {
        if (value instanceof Map<?, ?> map) {
            out.append('{');
            String comma = "";
            for (Map.Entry<?, ?> entry : map.entrySet()) {
                out.append(comma);
                write(entry.getKey(), out);
                out.append(':');
                write(entry.getValue(), out);
                comma = ",";
            }
            out.append('}');
        } else if (value instanceof List<?> list) {
            out.append('[');
            String comma = "";
            for (Object element : list) {
                out.append(comma);
                write(element, out);
                comma = ",";
            }
            out.append(']');
        } else if (value instanceof String string) {
            out.append('"');
            for (char c : string.toCharArray()) {
                if (c == '"' || c == '\\') out.append('\\').append(c);
                else if (c < ' ') out.append(String.format("\\u%04x", (int) c));
                else out.append(c);
            }
            out.append('"');
        } else {
            out.append(value);
        }
    }

    private void skipBlanks() {
        while (at < text.length() && Character.isWhitespace(text.charAt(at))) at++;
    }

    private Object value() {
        skipBlanks();
        if (at >= text.length()) throw new IllegalArgumentException("JSON text ends early");
        char c = text.charAt(at);
        if (c == '{') return members();
        if (c == '[') return elements();
        if (c == '"') return string();
        int start = at;
        while (at < text.length() && ",]} \t\r\n".indexOf(text.charAt(at)) < 0) at++;
        String word = text.substring(start, at);
        switch (word) {
            case "true":
                return Boolean.TRUE;
            case "false":
                return Boolean.FALSE;
            case "null":
                return null;
            default:
                if (word.matches("-?[0-9]+")) return Long.valueOf(word);
                return Double.valueOf(word);
        }
    }

    private Map<String, Object> members() {
        Map<String, Object> map = new LinkedHashMap<>();
        at++;
        while (true) {
            skipBlanks();
            if (text.charAt(at) == '}') break;
            String key = string();
            skipBlanks();
            if (text.charAt(at) != ':') throw new IllegalArgumentException("':' expected at " + at);
            at++;
            map.put(key, value());
            skipBlanks();
            if (text.charAt(at) == ',') at++;
        }
        at++;
        return map;
    }

    private List<Object> elements() {
        List<Object> list = new ArrayList<>();
        at++;
        while (true) {
            skipBlanks();
            if (text.charAt(at) == ']') break;
            list.add(value());
            skipBlanks();
            if (text.charAt(at) == ',') at++;
        }
        at++;
        return list;
    }

    private String string() {
        StringBuilder out = new StringBuilder();
        at++;
        while (text.charAt(at) != '"') {
            char c = text.charAt(at++);
            if (c != '\\') {
                out.append(c);
                continue;
            }
            char escaped = text.charAt(at++);
            switch (escaped) {
                case 'n' -> out.append('\n');
                case 't' -> out.append('\t');
                case 'r' -> out.append('\r');
                case 'b' -> out.append('\b');
                case 'f' -> out.append('\f');
                case 'u' -> {
                    out.append((char) Integer.parseInt(text.substring(at, at + 4), 16));
                    at += 4;
                }
                default -> out.append(escaped);
            }
        }
        at++;
        return out.toString();
    }
}
