package org.kingcuproad.policy;

import java.lang.reflect.Array;
import java.lang.reflect.Field;
import java.lang.reflect.Modifier;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.BitSet;
import java.util.Collection;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import net.openhft.hashing.LongTupleHashFunction;
import org.jspecify.annotations.Nullable;

/**
 * Hash of the state of object graphs, by which the model checker recognises states that it has visited. Fields whose
 * name ends in "Ms" are times and are omitted, and so are encoded segments, which contain times and are identified by
 * their versions.
 */
public final class Fingerprint {

    private static final Map<Class<?>, List<Field>> FIELDS = new ConcurrentHashMap<>();
    private static final LongTupleHashFunction HASH = LongTupleHashFunction.xx128();

    private Fingerprint() {}

    /** Hashes the objects that are reachable from the roots. */
    public static List<Long> of(Object... roots) {
        StringBuilder out = new StringBuilder();
        Arrays.stream(roots).forEach(root -> write(out, root));
        return Arrays.stream(HASH.hashChars(out)).boxed().toList();
    }

    private static void write(StringBuilder out, @Nullable Object value) {
        switch (value) {
            case null -> out.append('~');
            case Number number -> out.append(number);
            case CharSequence text -> out.append(text);
            case Boolean flag -> out.append(flag);
            case Enum<?> constant -> out.append(constant.name());
            case Optional<?> optional -> write(out, optional.orElse(null));
            case BitSet bits -> out.append(bits);
            case long[] numbers -> {
                for (int i = 0; i < numbers.length; i++) {
                    out.append(numbers[i] == 0 ? "" : i + "=" + numbers[i] + ",");
                }
            }
            case int[] numbers ->
                out.append(Arrays.stream(numbers)
                        .filter(number -> number != 0)
                        .boxed()
                        .toList());
            case byte[] bytes -> out.append(Arrays.hashCode(bytes));
            case Map<?, ?> map ->
                writeSorted(
                        out,
                        map.entrySet().stream()
                                .map(e -> textOf(e.getKey()) + ":" + textOf(e.getValue()))
                                .toList());
            case Set<?> set ->
                writeSorted(out, set.stream().map(Fingerprint::textOf).toList());
            case Collection<?> list -> list.forEach(item -> write(out.append(','), item));
            default -> writeObject(out, value);
        }
        out.append(';');
    }

    private static String textOf(@Nullable Object value) {
        StringBuilder out = new StringBuilder();
        write(out, value);
        return out.toString();
    }

    private static void writeSorted(StringBuilder out, List<String> items) {
        List<String> sorted = new ArrayList<>(items);
        sorted.sort(null);
        out.append(sorted);
    }

    private static void writeObject(StringBuilder out, Object value) {
        if (value.getClass().isArray()) {
            for (int i = 0; i < Array.getLength(value); i++) {
                write(out, Array.get(value, i));
            }
            return;
        }
        out.append(value.getClass().getSimpleName());
        try {
            for (Field field : FIELDS.computeIfAbsent(value.getClass(), Fingerprint::fieldsOf)) {
                write(out, field.get(value));
            }
        } catch (IllegalAccessException e) {
            throw new IllegalStateException(e);
        }
    }

    private static List<Field> fieldsOf(Class<?> type) {
        return Arrays.stream(type.getDeclaredFields())
                .filter(field -> !Modifier.isStatic(field.getModifiers())
                        && !field.getName().endsWith("Ms")
                        && !field.getName().equals("encoded"))
                .peek(field -> field.setAccessible(true))
                .toList();
    }
}
