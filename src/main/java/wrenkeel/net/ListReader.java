package wrenkeel.net;

import com.fasterxml.jackson.core.JsonFactory;
import com.fasterxml.jackson.core.JsonParser;
import com.fasterxml.jackson.core.JsonToken;
import com.fasterxml.jackson.core.StreamReadConstraints;
import com.fasterxml.jackson.core.async.ByteArrayFeeder;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.zip.CRC32;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import wrenkeel.Relay;
import wrenkeel.Wire;

/**
 * An incremental parser for the JSON text of one list, or of one list of changes. It takes the text in pieces
 * of any length and passes on each entry when it is complete. Not thread-safe.
 */
final class ListReader {
    private static final Logger LOG = LoggerFactory.getLogger(ListReader.class);
    /** Limit for the length of any string in the text, as the parser holds it in memory. */
    private static final int MAX_STRING_LENGTH = 64 * 1024;
    private static final JsonFactory JSON = JsonFactory.builder().streamReadConstraints(
        StreamReadConstraints.builder().maxStringLength(MAX_STRING_LENGTH).build()).build();
    /** This bit is set in the numbers of zones that the settings don't name. */
    private static final int UNCONFIGURED_ZONE = 1 << 30;
    /** Number of skipped entries that are logged one by one; of the others, the log has only their number. */
    private static final int MAX_SKIPPED_LOGGED = 5;

    /** One entry of a list. The object is reused for the next entry. */
    static final class Entry {
        /** The host's name in UTF-8. */
        final byte[] name = new byte[ByteArena.MAX_STRING_BYTES];
        int nameLength;
        Relay.Listing listing;
        /**
         * The address could not be parsed. The host counts as gone, but the list has named its destination.
         */
        boolean unusableAddress;
        int zone;
        int kind;
        long destination;
        double share;
        /** IPv4 address; has no meaning if there is an {@link #ipv6Address}. */
        int ipv4Address;
        /** IPv6 address, 16 bytes; null if the host has an IPv4 address. */
        byte[] ipv6Address;
        int port;
    }

    /** Receives the entries that are not skipped, in the order of the text. */
    interface EntryHandler {
        void accept(Entry entry) throws Wire.MalformedException;
    }

    /**
     * Where the parser is: before the list, in its object, in its array of hosts, in an entry, or after it.
     */
    private enum Position { BEFORE, LIST, HOSTS, ENTRY, AFTER }

    /**
     * The fields of the list and of its entries that are read; OTHER stands for the fields that are
     * skipped.
     */
    private enum Field { OTHER, SEQ, WHOLE, HOSTS, HOST, HEALTH, SITE, CLASS, DIAL, BLOCK, SHARE }

    /** State of a field that is optional in some entries. */
    private enum FieldState { ABSENT, VALID, INVALID }

    private final char[][] zones;
    private final char[][] kinds;
    /** The zone of an entry without a site. */
    private final int defaultZone;
    /** The kind of an entry without a class; -1 if the settings have no such kind. */
    private final int defaultKind;
    private final EntryHandler handler;
    private final JsonParser parser;
    private final Entry entry = new Entry();
    private Position position = Position.BEFORE;
    /** The field whose value comes next. */
    private Field field;
    /** Depth of nested objects and arrays in the value of a field that is skipped. */
    private int skipDepth;
    /** Value of the field 'whole'; null if there was none. */
    private Boolean whole;
    /** Value of the field 'seq'; null if there was none. */
    private Long version;
    private boolean hasHosts;
    private int skippedEntries;
    private boolean hasName;
    private boolean hasHealth;
    private FieldState dialState;
    private FieldState blockState;
    private FieldState shareState;
    /** The field 'dial', if it is not in the usual form of four numbers and a port; null if it is. */
    private String dialText;

    /** {@code zones} and {@code kinds} are the names in the settings, in the order of their numbers. */
    ListReader(List<String> zones, List<String> kinds, EntryHandler handler) {
        this.zones = zones.stream().map(String::toCharArray).toArray(char[][]::new);
        this.kinds = kinds.stream().map(String::toCharArray).toArray(char[][]::new);
        this.defaultZone = zoneNumber(new char[0], 0, 0);
        this.defaultKind = indexOf(this.kinds, new char[0], 0, 0);
        this.handler = handler;
        try {
            parser = JSON.createNonBlockingByteArrayParser();
        } catch (IOException e) {
            throw new IllegalStateException("the JSON parser could not be created", e);
        }
    }

    /** Parses the next piece of the text. */
    void feed(byte[] bytes, int from, int length) throws Wire.MalformedException {
        try {
            ((ByteArrayFeeder) parser.getNonBlockingInputFeeder()).feedInput(bytes, from, from + length);
            readTokens();
        } catch (IOException e) {
            throw malformed(e);
        }
    }

    /** Called at the end of the text; throws if it is not one complete list. */
    void end() throws Wire.MalformedException {
        try {
            parser.getNonBlockingInputFeeder().endOfInput();
            readTokens();
        } catch (IOException e) {
            throw malformed(e);
        }
        if (position != Position.AFTER) {
            throw new Wire.MalformedException("the list is incomplete");
        }
        if (version == null) {
            throw new Wire.MalformedException("missing field 'seq'");
        }
        if (!hasHosts) {
            throw new Wire.MalformedException("missing field 'hosts'");
        }
    }

    /**
     * Ends the parsing, complete or not, and logs how many entries were skipped beyond those already
     * logged.
     */
    void close() {
        if (skippedEntries > MAX_SKIPPED_LOGGED) {
            LOG.warn("skipped {} more list entries", skippedEntries - MAX_SKIPPED_LOGGED);
        }
        skippedEntries = 0;
        try {
            parser.close();
        } catch (IOException e) {
            throw new IllegalStateException("the JSON parser could not be closed", e);
        }
    }

    /** False once the text has said that it is a list of changes, which it may do after its entries. */
    boolean mayBeWhole() {
        return !Boolean.FALSE.equals(whole);
    }

    /** True for a complete list, false for a list of changes. To be called after the end of the text. */
    boolean isWhole() {
        return Boolean.TRUE.equals(whole);
    }

    /** The version of the list. To be called after the end of the text. */
    long version() {
        return version;
    }

    private static Wire.MalformedException malformed(IOException e) {
        return e instanceof Wire.MalformedException m ? m
            : new Wire.MalformedException("bad JSON: " + e.getMessage().lines().findFirst().orElse(""));
    }

    private void readTokens() throws IOException {
        for (JsonToken token = parser.nextToken(); token != null && token != JsonToken.NOT_AVAILABLE;
             token = parser.nextToken()) {
            if (skipDepth > 0) {
                skipDepth += token.isStructStart() ? 1 : token.isStructEnd() ? -1 : 0;
            } else {
                handleToken(token);
            }
        }
    }

    private void handleToken(JsonToken token) throws IOException {
        switch (position) {
            case BEFORE -> {
                if (token != JsonToken.START_OBJECT) {
                    throw new Wire.MalformedException("the list is not an object");
                }
                position = Position.LIST;
            }
            case LIST -> {
                if (token == JsonToken.FIELD_NAME) {
                    field = switch (parser.currentName()) {
                        case "seq" -> Field.SEQ;
                        case "whole" -> Field.WHOLE;
                        case "hosts" -> Field.HOSTS;
                        default -> Field.OTHER;
                    };
                } else if (token == JsonToken.END_OBJECT) {
                    position = Position.AFTER;
                } else {
                    readListField(token);
                }
            }
            case HOSTS -> {
                if (token == JsonToken.START_OBJECT) {
                    beginEntry();
                } else if (token == JsonToken.END_ARRAY) {
                    position = Position.LIST;
                } else {
                    throw new Wire.MalformedException("field 'hosts' contains a value that is not an object");
                }
            }
            case ENTRY -> {
                if (token == JsonToken.FIELD_NAME) {
                    field = switch (parser.currentName()) {
                        case "host" -> Field.HOST;
                        case "health" -> Field.HEALTH;
                        case "site" -> Field.SITE;
                        case "class" -> Field.CLASS;
                        case "dial" -> Field.DIAL;
                        case "block" -> Field.BLOCK;
                        case "share" -> Field.SHARE;
                        default -> Field.OTHER;
                    };
                } else if (token == JsonToken.END_OBJECT) {
                    position = Position.HOSTS;
                    finishEntry();
                } else {
                    readEntryField(token);
                }
            }
            default -> throw new Wire.MalformedException("there is text after the list");
        }
    }

    /** Reads the value of a field of the list. */
    private void readListField(JsonToken token) throws IOException {
        switch (field) {
            case SEQ -> {
                requireFirst(version);
                if (!isWholeNumber(token)) {
                    throw new Wire.MalformedException("field 'seq' is not a whole number");
                }
                version = readLong(token);
            }
            case WHOLE -> {
                requireFirst(whole);
                if (!token.isBoolean() && token != JsonToken.VALUE_NULL) {
                    throw new Wire.MalformedException("field 'whole' is not true or false");
                }
                whole = token == JsonToken.VALUE_TRUE;
            }
            case HOSTS -> {
                requireFirst(hasHosts ? Boolean.TRUE : null);
                if (token != JsonToken.START_ARRAY) {
                    throw new Wire.MalformedException("field 'hosts' is not an array");
                }
                hasHosts = true;
                position = Position.HOSTS;
            }
            default -> skip(token);
        }
    }

    private void requireFirst(Object previous) throws IOException {
        if (previous != null) {
            throw new Wire.MalformedException("field '" + parser.currentName() + "' occurs more than once");
        }
    }

    /** Starts to skip a value if it is an object or an array. */
    private void skip(JsonToken token) {
        skipDepth = token.isStructStart() ? 1 : 0;
    }

    // ---- Entries ----------------------------------------------------------------------------------
    private void beginEntry() {
        position = Position.ENTRY;
        hasName = false;
        hasHealth = false;
        entry.listing = null;
        entry.unusableAddress = false;
        entry.zone = defaultZone;
        entry.kind = defaultKind;
        entry.destination = 0;
        entry.share = 1;
        entry.ipv6Address = null;
        entry.ipv4Address = 0;
        entry.port = 0;
        dialState = FieldState.ABSENT;
        blockState = FieldState.ABSENT;
        shareState = FieldState.ABSENT;
        dialText = null;
    }

    /** Reads the value of a field of an entry. */
    private void readEntryField(JsonToken token) throws IOException {
        skip(token);
        switch (field) {
            case HOST, HEALTH, SITE, CLASS -> {
                if (token == JsonToken.VALUE_STRING) {
                    readStringField(parser.getTextCharacters(), parser.getTextOffset(),
                        parser.getTextLength());
                } else if (token != JsonToken.VALUE_NULL) {
                    throw new Wire.MalformedException("field '" + parser.currentName() + "' is not a string");
                }
            }
            case DIAL -> {
                dialState = fieldState(token, token == JsonToken.VALUE_STRING);
                if (dialState == FieldState.VALID) {
                    char[] text = parser.getTextCharacters();
                    int from = parser.getTextOffset();
                    int length = parser.getTextLength();
                    dialText = parseIpv4(text, from, from + length) ? null : new String(text, from, length);
                }
            }
            case BLOCK -> {
                blockState = fieldState(token, isWholeNumber(token));
                entry.destination = blockState == FieldState.VALID ? readLong(token) : 0;
            }
            case SHARE -> {
                shareState = fieldState(token, token.isNumeric());
                entry.share = shareState == FieldState.VALID ? parser.getDoubleValue() : 1;
            }
            default -> { }
        }
    }

    private static FieldState fieldState(JsonToken token, boolean isValid) {
        return token == JsonToken.VALUE_NULL ? FieldState.ABSENT
            : isValid ? FieldState.VALID : FieldState.INVALID;
    }

    /** Reads a field of an entry that must be a string. */
    private void readStringField(char[] text, int from, int length) throws Wire.MalformedException {
        switch (field) {
            case HOST -> {
                hasName = true;
                readName(text, from, length);
            }
            case HEALTH -> {
                hasHealth = true;
                entry.listing = equalsText("ready", text, from, length) ? Relay.Listing.READY
                    : equalsText("draining", text, from, length) ? Relay.Listing.DRAINING
                    : equalsText("gone", text, from, length) ? Relay.Listing.GONE : null;
            }
            case SITE -> entry.zone = zoneNumber(text, from, length);
            default -> entry.kind = indexOf(kinds, text, from, length);
        }
    }

    private void readName(char[] text, int from, int length) throws Wire.MalformedException {
        if (length > ByteArena.MAX_STRING_BYTES) {
            throw new Wire.MalformedException("a host's name has " + length + " characters");
        }
        for (int i = 0; i < length; i++) {
            char c = text[from + i];
            if (c >= 0x80) {
                byte[] bytes = new String(text, from, length).getBytes(StandardCharsets.UTF_8);
                if (bytes.length > ByteArena.MAX_STRING_BYTES) {
                    throw new Wire.MalformedException("a host's name has " + bytes.length + " bytes");
                }
                System.arraycopy(bytes, 0, entry.name, 0, bytes.length);
                entry.nameLength = bytes.length;
                return;
            }
            entry.name[i] = (byte) c;
        }
        entry.nameLength = length;
    }

    /** Checks a complete entry, and passes it on or skips it. */
    private void finishEntry() throws Wire.MalformedException {
        requireField(hasName, "host");
        requireField(hasHealth, "health");
        boolean gone = entry.listing == Relay.Listing.GONE;
        if (entry.listing == null || !gone && entry.kind < 0) {
            skipEntry("unknown class or health");
            return;
        }
        if (!gone) {
            requireField(dialState != FieldState.ABSENT, "dial");
            if (dialState == FieldState.INVALID) {
                throw new Wire.MalformedException("field 'dial' is not a string");
            }
            requireField(blockState != FieldState.ABSENT, "block");
        }
        if (blockState == FieldState.INVALID) {
            throw new Wire.MalformedException("field 'block' is not a whole number");
        }
        if (shareState == FieldState.INVALID) {
            throw new Wire.MalformedException("field 'share' is not a number");
        }
        if (!gone && dialText != null) {
            parseDialText();
        }
        handler.accept(entry);
    }

    private static void requireField(boolean isPresent, String name) throws Wire.MalformedException {
        if (!isPresent) {
            throw new Wire.MalformedException("missing field '" + name + "'");
        }
    }

    /** Parses an address in any form; if that fails, turns the entry into one of a host that is gone. */
    private void parseDialText() {
        try {
            InetSocketAddress address = Config.address(dialText);
            byte[] bytes = address.getAddress().getAddress();
            entry.port = address.getPort();
            if (bytes.length == 4) {
                entry.ipv4Address = (bytes[0] & 0xff) << 24 | (bytes[1] & 0xff) << 16 | (bytes[2] & 0xff) << 8
                    | bytes[3] & 0xff;
            } else {
                entry.ipv6Address = bytes;
            }
        } catch (Config.InvalidConfigException e) {
            skipEntry(e.getMessage());
            entry.unusableAddress = true;
            entry.listing = Relay.Listing.GONE;
        }
    }

    /** Counts a skipped entry, and logs it if it is one of the first. */
    private void skipEntry(String reason) {
        if (++skippedEntries <= MAX_SKIPPED_LOGGED) {
            LOG.warn("skipped list entry of host {}: {}",
                new String(entry.name, 0, entry.nameLength, StandardCharsets.UTF_8), reason);
        }
    }

    /** Parses the usual form of an address, four numbers and a port; false if it has another form. */
    private boolean parseIpv4(char[] text, int from, int to) {
        int address = 0;
        int at = from;
        for (int part = 0; part < 5; part++) {
            int begin = at;
            int value = 0;
            while (at < to && at - begin < 5 && text[at] >= '0' && text[at] <= '9') {
                value = 10 * value + text[at++] - '0';
            }
            boolean isPort = part == 4;
            if (at == begin || value > (isPort ? 0xffff : 0xff) || at - begin > 1 && text[begin] == '0'
                || (isPort ? at != to : at == to || text[at++] != (part == 3 ? ':' : '.'))) {
                return false;
            }
            if (isPort) {
                entry.port = value;
            } else {
                address = address << 8 | value;
            }
        }
        entry.ipv4Address = address;
        return true;
    }

    // ---- Strings and numbers ----------------------------------------------------------------------
    private static boolean equalsText(String word, char[] text, int from, int length) {
        if (word.length() != length) {
            return false;
        }
        for (int i = 0; i < length; i++) {
            if (word.charAt(i) != text[from + i]) {
                return false;
            }
        }
        return true;
    }

    /** The index of a text among these words; -1 if it is none of them. */
    private static int indexOf(char[][] words, char[] text, int from, int length) {
        for (int i = 0; i < words.length; i++) {
            char[] word = words[i];
            int matched = 0;
            while (word.length == length && matched < length && word[matched] == text[from + matched]) {
                matched++;
            }
            if (word.length == length && matched == length) {
                return i;
            }
        }
        return -1;
    }

    /**
     * The number of a zone: its index in the settings, or a hash if the settings don't name it. The hash has
     * the bit {@link #UNCONFIGURED_ZONE} and is the same after a restart, as it must be because the journal
     * stores it.
     */
    private int zoneNumber(char[] text, int from, int length) {
        int index = indexOf(zones, text, from, length);
        if (index >= 0) {
            return index;
        }
        CRC32 crc = new CRC32();
        crc.update(new String(text, from, length).getBytes(StandardCharsets.UTF_8));
        return UNCONFIGURED_ZONE | (int) crc.getValue() & UNCONFIGURED_ZONE - 1;
    }

    /** True for an integer, also if it is written with a fraction or an exponent. */
    private boolean isWholeNumber(JsonToken token) throws IOException {
        return token == JsonToken.VALUE_NUMBER_INT || token == JsonToken.VALUE_NUMBER_FLOAT
            && parser.getDoubleValue() == Math.rint(parser.getDoubleValue());
    }

    private long readLong(JsonToken token) throws IOException {
        return token == JsonToken.VALUE_NUMBER_INT
            && parser.getNumberType() != JsonParser.NumberType.BIG_INTEGER
            ? parser.getLongValue() : parser.getNumberValue().longValue();
    }
}
