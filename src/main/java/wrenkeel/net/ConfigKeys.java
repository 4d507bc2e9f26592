package wrenkeel.net;

import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Set;
import wrenkeel.Wire;
import wrenkeel.net.Config.InvalidConfigException;

/**
 * Checks that a configuration file that is read while the relay runs is complete: it must have every key that
 * the file in force has, at any depth. The objects of an array are compared by their names, as they may be
 * added, dropped and reordered; one with a new name must have the keys that all those in force have.
 */
final class ConfigKeys {
    private static final String NAME = "name";
    /** Array of the message classes. */
    private static final String CLASSES = "settings.profiles";
    private static final String EFFECT = "semantics";
    private static final String KEYED_EFFECT = "dedup";
    /** Keys of a message class that concern only classes whose repeats are dropped, which must have them. */
    private static final Set<String> KEYS_OF_KEYED_CLASSES = Set.of("group", "window");
    /** Keys that a message class may leave out and that change nothing for the relay. */
    private static final Set<String> IGNORED_CLASS_KEYS = Set.of("aim-stretch");
    /** Keys that a new message class may leave out. */
    private static final Set<String> OPTIONAL_KEYS_OF_NEW_CLASSES = Set.of("sequential");

    private ConfigKeys() { }

    /** Fails if the next configuration lacks a key that it must have beside the one in force. */
    static void requireComplete(Wire.Fields inForce, Wire.Fields next) throws InvalidConfigException {
        requireKeys("", inForce, next);
    }

    private static void requireKeys(String path, Wire.Fields inForce, Wire.Fields next)
        throws InvalidConfigException {
        for (Map.Entry<String, Object> entry : inForce.values().entrySet()) {
            if (entry.getValue() != null) {
                requireValue(path + entry.getKey(), entry.getValue(), next.values().get(entry.getKey()));
            }
        }
    }

    private static void requireValue(String path, Object inForce, Object next) throws InvalidConfigException {
        if (next == null) {
            throw lacks(path);
        }
        Wire.Fields fields = Wire.Fields.of(inForce);
        if (fields != null) {
            Wire.Fields nextFields = Wire.Fields.of(next);
            if (nextFields == null) {
                throw new InvalidConfigException("configuration: '" + path + "' is not an object");
            }
            requireKeys(path + ".", fields, nextFields);
        } else if (inForce instanceof List<?> elements && next instanceof List<?> nextElements) {
            requireElements(path, objectsOf(elements), objectsOf(nextElements));
        }
    }

    private static List<Wire.Fields> objectsOf(List<?> elements) {
        return elements.stream().map(Wire.Fields::of).filter(Objects::nonNull).toList();
    }

    private static void requireElements(String path, List<Wire.Fields> inForce, List<Wire.Fields> next)
        throws InvalidConfigException {
        for (Wire.Fields element : next) {
            for (String key : requiredKeys(path, inForce, element)) {
                if (element.values().get(key) == null) {
                    throw lacks(path + "[" + element.values().get(NAME) + "]." + key);
                }
            }
        }
    }

    /** Returns the keys that an object of an array must have, given the objects in force. */
    private static Set<String> requiredKeys(String path, List<Wire.Fields> inForce, Wire.Fields element) {
        Object name = element.values().get(NAME);
        Wire.Fields sameName = inForce.stream()
            .filter(other -> name != null && name.equals(other.values().get(NAME))).findFirst().orElse(null);
        Set<String> required = sameName == null ? commonKeys(inForce) : keysOf(sameName);
        if (path.equals(CLASSES)) {
            required.removeAll(IGNORED_CLASS_KEYS);
            if (sameName == null) {
                required.removeAll(OPTIONAL_KEYS_OF_NEW_CLASSES);
            }
            if (KEYED_EFFECT.equals(element.values().get(EFFECT))) {
                required.addAll(KEYS_OF_KEYED_CLASSES);
            } else {
                required.removeAll(KEYS_OF_KEYED_CLASSES);
            }
        }
        return required;
    }

    /** Returns the keys that all of these objects have. */
    private static Set<String> commonKeys(List<Wire.Fields> objects) {
        Set<String> common = objects.isEmpty() ? new HashSet<>() : keysOf(objects.get(0));
        objects.forEach(object -> common.retainAll(keysOf(object)));
        return common;
    }

    /** Returns the keys of an object that have a value other than null. */
    private static Set<String> keysOf(Wire.Fields object) {
        Set<String> keys = new HashSet<>(object.values().keySet());
        keys.removeIf(key -> object.values().get(key) == null);
        return keys;
    }

    private static InvalidConfigException lacks(String path) {
        return new InvalidConfigException("configuration lacks '" + path + "'");
    }
}
