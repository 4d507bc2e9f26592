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

/** Reads the text of one list as it comes, in pieces of any length, and passes its entries on. One thread. */
final class ListReader {
    private static final Logger LOG = LoggerFactory.getLogger(ListReader.class);
    /** Characters of the longest string that is read, of whatever field; it is held in memory. */
    private static final int MAX_STRING_LENGTH = 64 * 1024;
    private static final JsonFactory JSON = JsonFactory.builder().streamReadConstraints(
        StreamReadConstraints.builder().maxStringLength(MAX_STRING_LENGTH).build()).build();
    /** Set in the numbers of sites that the settings do not name. */
    private static final int UNCONFIGURED_ZONE = 1 << 30;
    /** Entries left out that are named in the log; of the rest, it tells how many they are. */
    private static final int MAX_SKIPPED_LOGGED = 5;

    /** One entry; it is used again for the next. */
    static final class Entry {
        /** In UTF-8. */
        final byte[] name = new byte[ByteArena.MAX_STRING_BYTES];
        int nameLength;
        Relay.Listing listing;
        /** The address could not be read: the host counts as gone, though its destination has been named. */
        boolean unusableAddress;
        int zone;
        int kind;
        long destination;
        double share;
        /** Address of IP version 4. */
        int ipv4Address;
        /** Address of IP version 6, 16 bytes; null for one of version 4. */
        byte[] ipv6Address;
        int port;
    }

    /** Takes in the entries that count, in their order. */
    interface EntryHandler {
        void accept(Entry entry) throws Wire.Malformed;
    }

    private enum Position { BEFORE, LIST, HOSTS, ENTRY, AFTER }

    private enum Field { OTHER, SEQ, WHOLE, HOSTS, HOST, HEALTH, SITE, CLASS, DIAL, BLOCK, SHARE }

    /** What an entry says in a field where it may say nothing. */
    private enum FieldState { ABSENT, VALID, INVALID }

    private final char[][] zones;
    private final char[][] kinds;
    /** Of an entry that says nothing of its site or class. */
    private final int defaultZone;
    private final int defaultKind;
    private final EntryHandler handler;
    private final JsonParser parser;
    private final Entry entry = new Entry();
    private Position position = Position.BEFORE;
    private Field field;
    /** Objects and arrays entered in a field that is not read. */
    private int skipDepth;
    private Boolean whole;
    private Long version;
    private boolean hasHosts;
    private int skippedEntries;
    private boolean hasName;
    private boolean hasHealth;
    private FieldState dialState;
    private FieldState blockState;
    private FieldState shareState;
    /** An address that is not four plain numbers and a port; null for one that is. */
    private String dialText;

    /** {@code zones}, {@code kinds}: the names that the settings have, in the order of their numbers. */
    ListReader(List<String> zones, List<String> kinds, EntryHandler handler) {
        this.zones = zones.stream().map(String::toCharArray).toArray(char[][]::new);
        this.kinds = kinds.stream().map(String::toCharArray).toArray(char[][]::new);
        this.defaultZone = zoneNumber(new char[0], 0, 0);
        this.defaultKind = indexOf(this.kinds, new char[0], 0, 0);
        this.handler = handler;
        try {
            parser = JSON.createNonBlockingByteArrayParser();
        } catch (IOException e) {
            throw new IllegalStateException("a parser without input cannot fail to be made", e);
        }
    }

    void feed(byte[] bytes, int from, int length) throws Wire.Malformed {
        try {
            ((ByteArrayFeeder) parser.getNonBlockingInputFeeder()).feedInput(bytes, from, from + length);
            readTokens();
        } catch (IOException e) {
            throw malformed(e);
        }
    }

    /** The text ends here; it must be one whole list. */
    void end() throws Wire.Malformed {
        try {
            parser.getNonBlockingInputFeeder().endOfInput();
            readTokens();
        } catch (IOException e) {
            throw malformed(e);
        }
        if (position != Position.AFTER) {
            throw new Wire.Malformed("the list is cut short");
        }
        if (version == null) {
            throw new Wire.Malformed("missing field 'seq'");
        }
        if (!hasHosts) {
            throw new Wire.Malformed("missing field 'hosts'");
        }
    }

    /** Nothing more is read; tells the log what has been left out. */
    void close() {
        if (skippedEntries > MAX_SKIPPED_LOGGED) {
            LOG.warn("{} more list entries left out", skippedEntries - MAX_SKIPPED_LOGGED);
        }
        skippedEntries = 0;
        try {
            parser.close();
        } catch (IOException e) {
            throw new IllegalStateException("a parser without a stream cannot fail to be closed", e);
        }
    }

    /** False once the text has said that it holds changes; it may say so behind its entries. */
    boolean mayBeWhole() {
        return !Boolean.FALSE.equals(whole);
    }

    boolean isWhole() {
        return Boolean.TRUE.equals(whole);
    }

    long version() {
        return version;
    }

    private static Wire.Malformed malformed(IOException e) {
        return e instanceof Wire.Malformed m ? m
            : new Wire.Malformed("bad JSON: " + e.getMessage().lines().findFirst().orElse(""));
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
                    throw new Wire.Malformed("the list is not an object");
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
                    throw new Wire.Malformed("field 'hosts' does not hold objects only");
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
            default -> throw new Wire.Malformed("more than one value");
        }
    }

    private void readListField(JsonToken token) throws IOException {
        switch (field) {
            case SEQ -> {
                requireFirst(version);
                if (!isWholeNumber(token)) {
                    throw new Wire.Malformed("field 'seq' is not a whole number");
                }
                version = readLong(token);
            }
            case WHOLE -> {
                requireFirst(whole);
                if (!token.isBoolean() && token != JsonToken.VALUE_NULL) {
                    throw new Wire.Malformed("field 'whole' is not true or false");
                }
                whole = token == JsonToken.VALUE_TRUE;
            }
            case HOSTS -> {
                requireFirst(hasHosts ? Boolean.TRUE : null);
                if (token != JsonToken.START_ARRAY) {
                    throw new Wire.Malformed("field 'hosts' is not an array");
                }
                hasHosts = true;
                position = Position.HOSTS;
            }
            default -> skip(token);
        }
    }

    private void requireFirst(Object previous) throws IOException {
        if (previous != null) {
            throw new Wire.Malformed("more than one field '" + parser.currentName() + "'");
        }
    }

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

    private void readEntryField(JsonToken token) throws IOException {
        skip(token);
        switch (field) {
            case HOST, HEALTH, SITE, CLASS -> {
                if (token == JsonToken.VALUE_STRING) {
                    readStringField(parser.getTextCharacters(), parser.getTextOffset(), parser.getTextLength());
                } else if (token != JsonToken.VALUE_NULL) {
                    throw new Wire.Malformed("field '" + parser.currentName() + "' is not a string");
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
        return token == JsonToken.VALUE_NULL ? FieldState.ABSENT : isValid ? FieldState.VALID : FieldState.INVALID;
    }

    private void readStringField(char[] text, int from, int length) throws Wire.Malformed {
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

    private void readName(char[] text, int from, int length) throws Wire.Malformed {
        if (length > ByteArena.MAX_STRING_BYTES) {
            throw new Wire.Malformed("a host's name of " + length + " characters");
        }
        for (int i = 0; i < length; i++) {
            char c = text[from + i];
            if (c >= 0x80) {
                byte[] bytes = new String(text, from, length).getBytes(StandardCharsets.UTF_8);
                if (bytes.length > ByteArena.MAX_STRING_BYTES) {
                    throw new Wire.Malformed("a host's name of " + bytes.length + " bytes");
                }
                System.arraycopy(bytes, 0, entry.name, 0, bytes.length);
                entry.nameLength = bytes.length;
                return;
            }
            entry.name[i] = (byte) c;
        }
        entry.nameLength = length;
    }

    /** The entry is complete: passes it on, or leaves it out with a line in the log. */
    private void finishEntry() throws Wire.Malformed {
        requireField(hasName, "host");
        requireField(hasHealth, "health");
        boolean gone = entry.listing == Relay.Listing.GONE;
        if (entry.listing == null || !gone && entry.kind < 0) {
            skipEntry("class or health is not known");
            return;
        }
        if (!gone) {
            requireField(dialState != FieldState.ABSENT, "dial");
            if (dialState == FieldState.INVALID) {
                throw new Wire.Malformed("field 'dial' is not a string");
            }
            requireField(blockState != FieldState.ABSENT, "block");
        }
        if (blockState == FieldState.INVALID) {
            throw new Wire.Malformed("field 'block' is not a whole number");
        }
        if (shareState == FieldState.INVALID) {
            throw new Wire.Malformed("field 'share' is not a number");
        }
        if (!gone && dialText != null) {
            parseDialText();
        }
        handler.accept(entry);
    }

    private static void requireField(boolean isPresent, String name) throws Wire.Malformed {
        if (!isPresent) {
            throw new Wire.Malformed("missing field '" + name + "'");
        }
    }

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
        } catch (Config.Unusable e) {
            skipEntry(e.getMessage());
            entry.unusableAddress = true;
            entry.listing = Relay.Listing.GONE;
        }
    }

    private void skipEntry(String reason) {
        if (++skippedEntries <= MAX_SKIPPED_LOGGED) {
            LOG.warn("list entry of host {} left out: {}",
                new String(entry.name, 0, entry.nameLength, StandardCharsets.UTF_8), reason);
        }
    }

    /** Reads the usual form of an address; false for any other. */
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

    // ---- Words and numbers ------------------------------------------------------------------------
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
     * The place of a site among those that the settings name. The list may hold more sites than that: such a
     * one has a number past them, which is the same after a restart, for the journal holds it.
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
