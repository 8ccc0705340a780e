package maplerail.config;

import com.fasterxml.jackson.core.JsonFactory;
import com.fasterxml.jackson.core.JsonParseException;
import com.fasterxml.jackson.core.JsonParser;
import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.core.JsonToken;
import com.fasterxml.jackson.core.StreamReadConstraints;
import java.io.IOException;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/** A JSON value and its path, so that errors name the key. Read with Jackson's streaming parser. */
public final class JsonValue {
    private static final JsonFactory FACTORY = JsonFactory.builder().streamReadConstraints(
            StreamReadConstraints.builder().maxNestingDepth(64).build()).build();

    private final String path;
    private final Object value;

    private JsonValue(String path, Object value) {
        this.path = path;
        this.value = value;
    }

    /**
     * Parses a text that holds one JSON object.
     *
     * @param name the name of the object in the paths of error messages
     */
    public static JsonValue parseObject(String name, String text) {
        JsonValue parsed = parse(name, text);
        if (!(parsed.value instanceof Map)) throw new ConfigException(name + ": not a JSON object");
        return parsed;
    }

    /**
     * Parses a text that holds one JSON value.
     *
     * @param name the name of the value in the paths of error messages
     */
    public static JsonValue parse(String name, String text) {
        try (JsonParser parser = FACTORY.createParser(text)) {
            if (parser.nextToken() == null) throw new ConfigException(name + ": empty");
            JsonValue parsed = new JsonValue(name, read(parser));
            if (parser.nextToken() != null) throw new ConfigException(name + ": not JSON: text after its end");
            return parsed;
        } catch (JsonParseException e) {
            throw new ConfigException(name + ": not JSON: " + e.getOriginalMessage());
        } catch (JsonProcessingException e) {
            throw new ConfigException(name + ": not JSON: " + e.getOriginalMessage());
        } catch (IOException e) {
            throw new ConfigException(name + ": not readable");
        }
    }

    private static Object read(JsonParser parser) throws IOException {
        switch (parser.currentToken()) {
            case START_OBJECT -> {
                Map<String, Object> map = new LinkedHashMap<>();
                while (parser.nextToken() != JsonToken.END_OBJECT) {
                    String key = parser.currentName();
                    parser.nextToken();
                    map.put(key, read(parser));
                }
                return map;
            }
            case START_ARRAY -> {
                List<Object> list = new ArrayList<>();
                while (parser.nextToken() != JsonToken.END_ARRAY) list.add(read(parser));
                return list;
            }
            case VALUE_NUMBER_INT, VALUE_NUMBER_FLOAT -> {
                return parser.getNumberValue();
            }
            case VALUE_TRUE -> {
                return true;
            }
            case VALUE_FALSE -> {
                return false;
            }
            case VALUE_NULL -> {
                return null;
            }
            default -> {
                return parser.getText();
            }
        }
    }

    /** Returns the path of this value, such as {@code config.settings.limits}. */
    public String path() {
        return path;
    }

    /** Returns the value under a key; an absent value if there is none. */
    public JsonValue at(String key) {
        Object child = value instanceof Map<?, ?> map ? map.get(key) : null;
        return new JsonValue(path + "." + key, child);
    }

    /** Returns the element of a list at an index; an absent value if there is none. */
    public JsonValue at(int index) {
        boolean inRange = value instanceof List<?> list && index < list.size();
        return new JsonValue(path + "[" + index + "]", inRange ? ((List<?>) value).get(index) : null);
    }

    /** Returns the value under a key; its absence is an error. */
    public JsonValue require(String key) {
        JsonValue child = at(key);
        if (child.value == null) throw new ConfigException(child.path + ": missing");
        return child;
    }

    /** Returns whether there is a value other than null. */
    public boolean present() {
        return value != null;
    }

    /** Returns whether the value is an object. */
    public boolean isObject() {
        return value instanceof Map;
    }

    /** Returns whether the value is a list. */
    public boolean isList() {
        return value instanceof List;
    }

    /** Returns whether the value is an integer. */
    public boolean isInteger() {
        return value instanceof Integer || value instanceof Long;
    }

    /** Returns the elements of a list; none if the value is absent. */
    public List<JsonValue> list() {
        if (value == null) return List.of();
        if (!(value instanceof List<?> list)) throw new ConfigException(path + ": not a list");
        List<JsonValue> elements = new ArrayList<>();
        for (int i = 0; i < list.size(); i++) elements.add(at(i));
        return elements;
    }

    /** Returns the keys of an object; none if the value is absent. */
    public List<String> keys() {
        if (value == null) return List.of();
        if (!(value instanceof Map<?, ?> map)) throw new ConfigException(path + ": not an object");
        return map.keySet().stream().map(String::valueOf).toList();
    }

    /** Returns the text; any other value is an error. */
    public String text() {
        if (value instanceof String text) return text;
        throw new ConfigException(path + (value == null ? ": missing" : ": not a text"));
    }

    /** Returns the text, or the fallback if the value is not a text. */
    public String text(String fallback) {
        return value instanceof String text ? text : fallback;
    }

    /** Returns the number; any other value is an error. */
    public double number() {
        if (value instanceof Number number) return number.doubleValue();
        throw new ConfigException(path + (value == null ? ": missing" : ": not a number"));
    }

    /** Returns the number, or the fallback if the value is not a number. */
    public double number(double fallback) {
        return value instanceof Number number ? number.doubleValue() : fallback;
    }

    /** Returns the number; any other value, or one below the minimum, is an error. */
    public double atLeast(double min) {
        double number = number();
        if (number >= min) return number;
        throw new ConfigException(path + ": under " + (long) min);
    }

    /** Returns the number, which must not be below the minimum, or the fallback if the value is absent. */
    public double atLeast(double min, double fallback) {
        return present() ? atLeast(min) : fallback;
    }

    /** Returns the number; any other value, or one that is not above 0, is an error. */
    public double positive() {
        double number = number();
        if (number > 0) return number;
        throw new ConfigException(path + ": not above 0");
    }

    /** Returns the number, which must be above 0, or the fallback if the value is absent. */
    public double positive(double fallback) {
        return present() ? positive() : fallback;
    }

    /** Returns the boolean, or false if the value is absent; any other value is an error. */
    public boolean booleanOrFalse() {
        if (present() && !(value instanceof Boolean)) throw new ConfigException(path + ": not true or false");
        return isTrue();
    }

    /** Returns whether the value is {@code true}; any other value counts as false. */
    public boolean isTrue() {
        return Boolean.TRUE.equals(value);
    }

    /** Returns the value as it was parsed: a map, list, text, number, boolean or null. */
    public Object raw() {
        return value;
    }
}
