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
    private static final int STRING_MOST = 64 * 1024;
    private static final JsonFactory JSON = JsonFactory.builder().streamReadConstraints(
        StreamReadConstraints.builder().maxStringLength(STRING_MOST).build()).build();
    /** Set in the numbers of sites that the settings do not name. */
    private static final int UNNAMED = 1 << 30;
    /** Entries left out that are named in the log; of the rest, it tells how many they are. */
    private static final int LEFT_OUT_LINES = 5;

    /** One entry; it is used again for the next. */
    static final class Entry {
        /** In UTF-8. */
        final byte[] name = new byte[ByteArena.LONGEST];
        int nameLength;
        Relay.Listing listing;
        /** The address could not be read: the host counts as gone, though its destination has been named. */
        boolean undialable;
        int zone;
        int kind;
        long destination;
        double share;
        /** Address of IP version 4. */
        int address;
        /** Address of IP version 6, 16 bytes; null for one of version 4. */
        byte[] longAddress;
        int port;
    }

    /** Takes in the entries that count, in their order. */
    interface Entries {
        void take(Entry entry) throws Wire.MalformedException;
    }

    private enum Place { BEFORE, LIST, HOSTS, ENTRY, BEHIND }

    private enum Field { OTHER, SEQ, WHOLE, HOSTS, HOST, HEALTH, SITE, CLASS, DIAL, BLOCK, SHARE }

    /** What an entry says in a field where it may say nothing. */
    private enum Said { NOTHING, VALUE, NONSENSE }

    private final char[][] zones;
    private final char[][] kinds;
    /** Of an entry that says nothing of its site or class. */
    private final int zoneUntold;
    private final int kindUntold;
    private final Entries entries;
    private final JsonParser parser;
    private final Entry entry = new Entry();
    private Place place = Place.BEFORE;
    private Field field;
    /** Objects and arrays entered in a field that is not read. */
    private int skipped;
    private Boolean whole;
    private Long version;
    private boolean hosts;
    private int leftOut;
    private boolean named;
    private boolean healthy;
    private Said dial;
    private Said block;
    private Said share;
    /** An address that is not four plain numbers and a port; null for one that is. */
    private String dialText;

    /** {@code zones}, {@code kinds}: the names that the settings have, in the order of their numbers. */
    ListReader(List<String> zones, List<String> kinds, Entries entries) {
        this.zones = zones.stream().map(String::toCharArray).toArray(char[][]::new);
        this.kinds = kinds.stream().map(String::toCharArray).toArray(char[][]::new);
        this.zoneUntold = zone(new char[0], 0, 0);
        this.kindUntold = index(this.kinds, new char[0], 0, 0);
        this.entries = entries;
        try {
            parser = JSON.createNonBlockingByteArrayParser();
        } catch (IOException e) {
            throw new IllegalStateException("a parser without input cannot fail to be made", e);
        }
    }

    void feed(byte[] bytes, int from, int length) throws Wire.MalformedException {
        try {
            ((ByteArrayFeeder) parser.getNonBlockingInputFeeder()).feedInput(bytes, from, from + length);
            tokens();
        } catch (IOException e) {
            throw malformed(e);
        }
    }

    /** The text ends here; it must be one whole list. */
    void end() throws Wire.MalformedException {
        try {
            parser.getNonBlockingInputFeeder().endOfInput();
            tokens();
        } catch (IOException e) {
            throw malformed(e);
        }
        if (place != Place.BEHIND) {
            throw new Wire.MalformedException("the list is cut short");
        }
        if (version == null) {
            throw new Wire.MalformedException("missing field 'seq'");
        }
        if (!hosts) {
            throw new Wire.MalformedException("missing field 'hosts'");
        }
    }

    /** Nothing more is read; tells the log what has been left out. */
    void close() {
        if (leftOut > LEFT_OUT_LINES) {
            LOG.warn("{} more list entries left out", leftOut - LEFT_OUT_LINES);
        }
        leftOut = 0;
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

    boolean whole() {
        return Boolean.TRUE.equals(whole);
    }

    long version() {
        return version;
    }

    private static Wire.MalformedException malformed(IOException e) {
        return e instanceof Wire.MalformedException m ? m
            : new Wire.MalformedException("bad JSON: " + e.getMessage().lines().findFirst().orElse(""));
    }

    private void tokens() throws IOException {
        for (JsonToken token = parser.nextToken(); token != null && token != JsonToken.NOT_AVAILABLE;
             token = parser.nextToken()) {
            if (skipped > 0) {
                skipped += token.isStructStart() ? 1 : token.isStructEnd() ? -1 : 0;
            } else {
                take(token);
            }
        }
    }

    private void take(JsonToken token) throws IOException {
        switch (place) {
            case BEFORE -> {
                if (token != JsonToken.START_OBJECT) {
                    throw new Wire.MalformedException("the list is not an object");
                }
                place = Place.LIST;
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
                    place = Place.BEHIND;
                } else {
                    ofList(token);
                }
            }
            case HOSTS -> {
                if (token == JsonToken.START_OBJECT) {
                    begin();
                } else if (token == JsonToken.END_ARRAY) {
                    place = Place.LIST;
                } else {
                    throw new Wire.MalformedException("field 'hosts' does not hold objects only");
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
                    place = Place.HOSTS;
                    finish();
                } else {
                    ofEntry(token);
                }
            }
            default -> throw new Wire.MalformedException("more than one value");
        }
    }

    private void ofList(JsonToken token) throws IOException {
        switch (field) {
            case SEQ -> {
                once(version);
                if (!wholeNumber(token)) {
                    throw new Wire.MalformedException("field 'seq' is not a whole number");
                }
                version = number(token);
            }
            case WHOLE -> {
                once(whole);
                if (!token.isBoolean() && token != JsonToken.VALUE_NULL) {
                    throw new Wire.MalformedException("field 'whole' is not true or false");
                }
                whole = token == JsonToken.VALUE_TRUE;
            }
            case HOSTS -> {
                once(hosts ? Boolean.TRUE : null);
                if (token != JsonToken.START_ARRAY) {
                    throw new Wire.MalformedException("field 'hosts' is not an array");
                }
                hosts = true;
                place = Place.HOSTS;
            }
            default -> skip(token);
        }
    }

    private void once(Object before) throws IOException {
        if (before != null) {
            throw new Wire.MalformedException("more than one field '" + parser.currentName() + "'");
        }
    }

    private void skip(JsonToken token) {
        skipped = token.isStructStart() ? 1 : 0;
    }

    // ---- Entries ----------------------------------------------------------------------------------
    private void begin() {
        place = Place.ENTRY;
        named = false;
        healthy = false;
        entry.listing = null;
        entry.undialable = false;
        entry.zone = zoneUntold;
        entry.kind = kindUntold;
        entry.destination = 0;
        entry.share = 1;
        entry.longAddress = null;
        entry.address = 0;
        entry.port = 0;
        dial = Said.NOTHING;
        block = Said.NOTHING;
        share = Said.NOTHING;
        dialText = null;
    }

    private void ofEntry(JsonToken token) throws IOException {
        skip(token);
        switch (field) {
            case HOST, HEALTH, SITE, CLASS -> {
                if (token == JsonToken.VALUE_STRING) {
                    word(parser.getTextCharacters(), parser.getTextOffset(), parser.getTextLength());
                } else if (token != JsonToken.VALUE_NULL) {
                    throw new Wire.MalformedException("field '" + parser.currentName() + "' is not a string");
                }
            }
            case DIAL -> {
                dial = said(token, token == JsonToken.VALUE_STRING);
                if (dial == Said.VALUE) {
                    char[] text = parser.getTextCharacters();
                    int from = parser.getTextOffset();
                    int length = parser.getTextLength();
                    dialText = fourNumbers(text, from, from + length) ? null : new String(text, from, length);
                }
            }
            case BLOCK -> {
                block = said(token, wholeNumber(token));
                entry.destination = block == Said.VALUE ? number(token) : 0;
            }
            case SHARE -> {
                share = said(token, token.isNumeric());
                entry.share = share == Said.VALUE ? parser.getDoubleValue() : 1;
            }
            default -> { }
        }
    }

    private static Said said(JsonToken token, boolean sense) {
        return token == JsonToken.VALUE_NULL ? Said.NOTHING : sense ? Said.VALUE : Said.NONSENSE;
    }

    private void word(char[] text, int from, int length) throws Wire.MalformedException {
        switch (field) {
            case HOST -> {
                named = true;
                name(text, from, length);
            }
            case HEALTH -> {
                healthy = true;
                entry.listing = is("ready", text, from, length) ? Relay.Listing.READY
                    : is("draining", text, from, length) ? Relay.Listing.DRAINING
                    : is("gone", text, from, length) ? Relay.Listing.GONE : null;
            }
            case SITE -> entry.zone = zone(text, from, length);
            default -> entry.kind = index(kinds, text, from, length);
        }
    }

    private void name(char[] text, int from, int length) throws Wire.MalformedException {
        if (length > ByteArena.LONGEST) {
            throw new Wire.MalformedException("a host's name of " + length + " characters");
        }
        for (int i = 0; i < length; i++) {
            char c = text[from + i];
            if (c >= 0x80) {
                byte[] bytes = new String(text, from, length).getBytes(StandardCharsets.UTF_8);
                if (bytes.length > ByteArena.LONGEST) {
                    throw new Wire.MalformedException("a host's name of " + bytes.length + " bytes");
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
    private void finish() throws Wire.MalformedException {
        need(named, "host");
        need(healthy, "health");
        boolean gone = entry.listing == Relay.Listing.GONE;
        if (entry.listing == null || !gone && entry.kind < 0) {
            leaveOut("class or health is not known");
            return;
        }
        if (!gone) {
            need(dial != Said.NOTHING, "dial");
            if (dial == Said.NONSENSE) {
                throw new Wire.MalformedException("field 'dial' is not a string");
            }
            need(block != Said.NOTHING, "block");
        }
        if (block == Said.NONSENSE) {
            throw new Wire.MalformedException("field 'block' is not a whole number");
        }
        if (share == Said.NONSENSE) {
            throw new Wire.MalformedException("field 'share' is not a number");
        }
        if (!gone && dialText != null) {
            look();
        }
        entries.take(entry);
    }

    private static void need(boolean there, String name) throws Wire.MalformedException {
        if (!there) {
            throw new Wire.MalformedException("missing field '" + name + "'");
        }
    }

    private void look() {
        try {
            InetSocketAddress address = Config.address(dialText);
            byte[] bytes = address.getAddress().getAddress();
            entry.port = address.getPort();
            if (bytes.length == 4) {
                entry.address = (bytes[0] & 0xff) << 24 | (bytes[1] & 0xff) << 16 | (bytes[2] & 0xff) << 8
                    | bytes[3] & 0xff;
            } else {
                entry.longAddress = bytes;
            }
        } catch (Config.InvalidConfigException e) {
            leaveOut(e.getMessage());
            entry.undialable = true;
            entry.listing = Relay.Listing.GONE;
        }
    }

    private void leaveOut(String fault) {
        if (++leftOut <= LEFT_OUT_LINES) {
            LOG.warn("list entry of host {} left out: {}",
                new String(entry.name, 0, entry.nameLength, StandardCharsets.UTF_8), fault);
        }
    }

    /** Reads the usual form of an address; false for any other. */
    private boolean fourNumbers(char[] text, int from, int to) {
        int address = 0;
        int at = from;
        for (int part = 0; part < 5; part++) {
            int begin = at;
            int value = 0;
            while (at < to && at - begin < 5 && text[at] >= '0' && text[at] <= '9') {
                value = 10 * value + text[at++] - '0';
            }
            boolean port = part == 4;
            if (at == begin || value > (port ? 0xffff : 0xff) || at - begin > 1 && text[begin] == '0'
                || (port ? at != to : at == to || text[at++] != (part == 3 ? ':' : '.'))) {
                return false;
            }
            if (port) {
                entry.port = value;
            } else {
                address = address << 8 | value;
            }
        }
        entry.address = address;
        return true;
    }

    // ---- Words and numbers ------------------------------------------------------------------------
    private static boolean is(String word, char[] text, int from, int length) {
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

    private static int index(char[][] words, char[] text, int from, int length) {
        for (int i = 0; i < words.length; i++) {
            char[] word = words[i];
            int same = 0;
            while (word.length == length && same < length && word[same] == text[from + same]) {
                same++;
            }
            if (word.length == length && same == length) {
                return i;
            }
        }
        return -1;
    }

    /**
     * The place of a site among those that the settings name. The list may hold more sites than that: such a
     * one has a number past them, which is the same after a restart, for the journal holds it.
     */
    private int zone(char[] text, int from, int length) {
        int index = index(zones, text, from, length);
        if (index >= 0) {
            return index;
        }
        CRC32 crc = new CRC32();
        crc.update(new String(text, from, length).getBytes(StandardCharsets.UTF_8));
        return UNNAMED | (int) crc.getValue() & UNNAMED - 1;
    }

    private boolean wholeNumber(JsonToken token) throws IOException {
        return token == JsonToken.VALUE_NUMBER_INT || token == JsonToken.VALUE_NUMBER_FLOAT
            && parser.getDoubleValue() == Math.rint(parser.getDoubleValue());
    }

    private long number(JsonToken token) throws IOException {
        return token == JsonToken.VALUE_NUMBER_INT
            && parser.getNumberType() != JsonParser.NumberType.BIG_INTEGER
            ? parser.getLongValue() : parser.getNumberValue().longValue();
    }
}
