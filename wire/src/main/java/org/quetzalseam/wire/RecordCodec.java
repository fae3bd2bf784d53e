package org.quetzalseam.wire;

import java.io.IOException;
import java.lang.reflect.Constructor;
import java.lang.reflect.InvocationTargetException;
import java.lang.reflect.Method;
import java.lang.reflect.ParameterizedType;
import java.lang.reflect.RecordComponent;
import java.lang.reflect.Type;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import org.msgpack.core.MessageFormat;
import org.msgpack.core.MessagePacker;
import org.msgpack.core.MessageUnpacker;
import org.quetzalseam.wire.WireException.Code;

/**
 * Packs records as MessagePack arrays of their components, in order, and unpacks them again. Thread-safe.
 *
 * <p>Components may be {@code int}, {@code long}, {@code boolean}, {@code String}, {@code byte[]}, enums, records, and
 * lists or string-keyed maps of these. Components that an older sender does not know are unpacked as zero, false, empty or
 * the first enum constant; components that a newer sender has added at the end are skipped. A missing
 * component of a record type is an error.
 */
final class RecordCodec {
    private record RecordLayout(
            Class<?> type, RecordComponent[] components, Method[] accessors, Constructor<?> constructor) {}

    private final Map<Class<?>, RecordLayout> layouts = new ConcurrentHashMap<>();

    private RecordLayout layout(Class<?> type) {
        return layouts.computeIfAbsent(type, RecordCodec::inspect);
    }

    private static RecordLayout inspect(Class<?> type) {
        RecordComponent[] components = type.getRecordComponents();
        Method[] accessors = new Method[components.length];
        Class<?>[] types = new Class<?>[components.length];
        for (int i = 0; i < components.length; i++) {
            accessors[i] = components[i].getAccessor();
            accessors[i].setAccessible(true);
            types[i] = components[i].getType();
        }
        try {
            Constructor<?> constructor = type.getDeclaredConstructor(types);
            constructor.setAccessible(true);
            return new RecordLayout(type, components, accessors, constructor);
        } catch (NoSuchMethodException e) {
            throw new IllegalStateException("record " + type + " has no canonical constructor", e);
        }
    }

    void pack(MessagePacker packer, Object value) throws IOException {
        RecordLayout shape = layout(value.getClass());
        packer.packArrayHeader(shape.components.length);
        for (Method accessor : shape.accessors) {
            packValue(packer, componentValue(accessor, value));
        }
    }

    private static Object componentValue(Method accessor, Object target) {
        try {
            return accessor.invoke(target);
        } catch (IllegalAccessException | InvocationTargetException e) {
            throw new IllegalStateException("accessor " + accessor + " failed", e);
        }
    }

    private void packValue(MessagePacker packer, Object value) throws IOException {
        if (value instanceof Integer number) {
            packer.packInt(number);
        } else if (value instanceof Long number) {
            packer.packLong(number);
        } else if (value instanceof Boolean flag) {
            packer.packBoolean(flag);
        } else if (value instanceof String text) {
            packer.packString(text);
        } else if (value instanceof byte[] bytes) {
            packer.packBinaryHeader(bytes.length);
            packer.writePayload(bytes);
        } else if (value instanceof Enum<?> constant) {
            packer.packString(constant.name());
        } else if (value instanceof List<?> list) {
            packer.packArrayHeader(list.size());
            for (Object element : list) {
                packValue(packer, element);
            }
        } else if (value instanceof Map<?, ?> map) {
            packer.packMapHeader(map.size());
            for (Map.Entry<?, ?> entry : map.entrySet()) {
                packValue(packer, entry.getKey());
                packValue(packer, entry.getValue());
            }
        } else if (value instanceof Record) {
            pack(packer, value);
        } else {
            throw new IllegalArgumentException("no packing for " + value.getClass());
        }
    }

    <T> T unpack(MessageUnpacker unpacker, Class<T> type) throws IOException {
        RecordLayout shape = layout(type);
        int length = unpacker.unpackArrayHeader();
        Object[] arguments = new Object[shape.components.length];
        for (int i = 0; i < arguments.length; i++) {
            Type component = shape.components[i].getGenericType();
            arguments[i] = i < length ? unpackValue(unpacker, component) : defaultValue(component);
        }
        unpacker.skipValue(Math.max(0, length - arguments.length));
        try {
            return type.cast(shape.constructor.newInstance(arguments));
        } catch (InvocationTargetException e) {
            throw new WireException(Code.BAD_MESSAGE, type.getSimpleName() + ": " + e.getCause(), e);
        } catch (InstantiationException | IllegalAccessException e) {
            throw new IllegalStateException("constructor of " + type + " failed", e);
        }
    }

    private Object unpackValue(MessageUnpacker unpacker, Type type) throws IOException {
        if (type instanceof ParameterizedType parameterized) {
            Type[] arguments = parameterized.getActualTypeArguments();
            return parameterized.getRawType() == List.class
                    ? unpackList(unpacker, arguments[0])
                    : unpackMap(unpacker, arguments[1]);
        }
        if (type == int.class) {
            return unpacker.unpackInt();
        } else if (type == long.class || type == Long.class) {
            return unpacker.unpackLong();
        } else if (type == boolean.class) {
            return unpacker.unpackBoolean();
        } else if (type == String.class) {
            return unpacker.unpackString();
        } else if (type == byte[].class) {
            return unpacker.readPayload(boundedLength(unpacker.unpackBinaryHeader()));
        } else if (type instanceof Class<?> raw && raw.isEnum()) {
            return enumConstant(raw, unpacker.unpackString());
        } else if (type instanceof Class<?> raw && raw.isRecord()) {
            return unpack(unpacker, raw);
        }
        throw new IllegalArgumentException("no unpacking for " + type);
    }

    private static int boundedLength(int length) {
        if (length > FrameCodec.MAX_FRAME_BYTES) {
            throw new WireException(Code.BAD_MESSAGE, "a binary value is longer than a frame");
        }
        return length;
    }

    private List<Object> unpackList(MessageUnpacker unpacker, Type element) throws IOException {
        int length = unpacker.unpackArrayHeader();
        List<Object> list = new ArrayList<>();
        for (int i = 0; i < length; i++) {
            list.add(unpackValue(unpacker, element));
        }
        return List.copyOf(list);
    }

    private Map<String, Object> unpackMap(MessageUnpacker unpacker, Type value) throws IOException {
        int length = unpacker.unpackMapHeader();
        Map<String, Object> map = new LinkedHashMap<>();
        for (int i = 0; i < length; i++) {
            if (unpacker.getNextFormat() == MessageFormat.NIL) {
                throw new WireException(Code.BAD_MESSAGE, "a map's key is missing");
            }
            String key = unpacker.unpackString();
            map.put(key, unpackValue(unpacker, value));
        }
        return map;
    }

    private static Object enumConstant(Class<?> type, String name) {
        return Arrays.stream(type.getEnumConstants())
                .filter(constant -> ((Enum<?>) constant).name().equals(name))
                .findFirst()
                .orElseThrow(
                        () -> new WireException(Code.BAD_MESSAGE, "no " + type.getSimpleName() + " named " + name));
    }

    private static Object defaultValue(Type type) {
        if (type instanceof ParameterizedType parameterized) {
            return parameterized.getRawType() == List.class ? List.of() : Map.of();
        }
        if (type == int.class) {
            return 0;
        } else if (type == long.class) {
            return 0L;
        } else if (type == boolean.class) {
            return false;
        } else if (type == byte[].class) {
            return new byte[0];
        } else if (type instanceof Class<?> raw && raw.isEnum()) {
            return raw.getEnumConstants()[0];
        }
        if (type == String.class) {
            return "";
        }
        throw new WireException(Code.BAD_MESSAGE, "a component of type " + type.getTypeName() + " is missing");
    }
}
