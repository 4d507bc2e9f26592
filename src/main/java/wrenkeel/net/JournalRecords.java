package wrenkeel.net;

import java.io.ByteArrayOutputStream;
import java.io.DataInputStream;
import java.io.DataOutputStream;
import java.io.IOException;
import java.nio.ByteBuffer;
import java.util.zip.CRC32;
import wrenkeel.Relay;

/**
 * The records of a {@link Journal}. A record consists of the content's length (4 bytes), the CRC-32 of the
 * content (4 bytes) and the content: the record's type (1 byte), the number of the message (8 bytes) and
 * further fields that depend on the type.
 */
final class JournalRecords {
    /** A record's length and checksum. */
    static final int HEADER_BYTES = 8;
    /** A body of up to 64 KiB, and ids, keys and the message class, which are far shorter. */
    static final int MAX_CONTENT_BYTES = 128 * 1024;
    /** The type and the number. */
    static final int MIN_CONTENT_BYTES = 9;
    /** Attempts for which a message reserves space if its class was not recorded. */
    private static final int DEFAULT_MAX_ATTEMPTS = 16;
    /** An attempt: the record of its send and the one of its outcome. */
    private static final int ATTEMPT_BYTES = (HEADER_BYTES + 23) + (HEADER_BYTES + 11);
    /** A message's end: its record and the one that closes the message. */
    private static final int END_BYTES = (HEADER_BYTES + 18) + (HEADER_BYTES + 10);

    // Types of records. The numbers are stored and must not change.
    /** A message of a release that did not record the message's class. */
    static final byte ACCEPTED_WITHOUT_CLASS = 1;
    /** An attempt is about to be sent. */
    static final byte SENT = 2;
    /** An attempt had no effect at the host. */
    static final byte NOT_RUN = 3;
    /** The end of a message was decided, and its notice is due. */
    static final byte ENDED = 4;
    /** Nothing more is to be done for a message. */
    static final byte CLOSED = 5;
    /** The message of this number was adopted from the given process; the number is that in its journal. */
    static final byte ADOPTED = 6;
    /** The journal of the process of this number holds no open message any more. */
    static final byte PREDECESSOR_EMPTIED = 7;
    /** A message belongs to the next process from now on. */
    static final byte PASSED_ON = 8;
    /** A host asked the relay to wait. */
    static final byte WAIT = 9;
    /** A message was accepted, with its class. */
    static final byte ACCEPTED = 10;
    /** The clocks of the process that writes the file. */
    static final byte CLOCK = 11;
    /** An attempt was never made, because this machine had no socket for it. */
    static final byte NOT_MADE = 12;
    /** The health of an endpoint has changed. */
    static final byte ENDPOINT_HEALTH = 13;
    /** A message is over that an endpoint has run or may have run. */
    static final byte COMPLETED = 14;

    private JournalRecords() { }

    /** Writes the fields of a record's content. */
    interface ContentWriter {
        void write(DataOutputStream out) throws IOException;
    }

    /** Encodes a record; {@code fields} writes what follows the type and the number. */
    static byte[] record(byte type, long number, ContentWriter fields) throws IOException {
        ByteArrayOutputStream content = new ByteArrayOutputStream();
        DataOutputStream out = new DataOutputStream(content);
        out.writeByte(type);
        out.writeLong(number);
        fields.write(out);
        byte[] bytes = content.toByteArray();
        int checksum = crc(ByteBuffer.wrap(bytes));
        return ByteBuffer.allocate(HEADER_BYTES + bytes.length)
            .putInt(bytes.length).putInt(checksum).put(bytes).array();
    }

    /** Encodes the health of an endpoint. */
    static byte[] health(Journal.EndpointHealth health) {
        try {
            return record(ENDPOINT_HEALTH, 0, o -> {
                o.writeUTF(health.host());
                o.writeByte(health.health().ordinal());
                o.writeLong(health.sinceMillis());
                o.writeDouble(health.callsPerSecond());
            });
        } catch (IOException e) {
            throw new IllegalStateException("writing to a byte array failed", e);
        }
    }

    /** Decodes the fields of a record of an endpoint's health. */
    static Journal.EndpointHealth endpointHealth(DataInputStream in) throws IOException {
        String host = in.readUTF();
        Relay.Health health = Relay.Health.values()[in.readByte()];
        return new Journal.EndpointHealth(host, health, in.readLong(), in.readDouble());
    }

    /** Encodes that nothing more is to be done for a message, and whether it was delivered. */
    static byte[] closed(long number, boolean delivered) {
        try {
            return record(CLOSED, number, o -> o.writeBoolean(delivered));
        } catch (IOException e) {
            throw new IllegalStateException("writing to a byte array failed", e);
        }
    }

    /** Decodes whether a closed message was delivered; earlier releases did not record that. */
    static boolean isDelivered(DataInputStream closedFields) throws IOException {
        return closedFields.available() > 0 && closedFields.readBoolean();
    }

    /** Encodes a message that is over. */
    static byte[] completed(CompletedMessages.Completion completion) {
        try {
            return record(COMPLETED, 0, o -> {
                o.writeUTF(completion.id());
                o.writeBoolean(completion.delivered());
                o.writeLong(completion.untilMillis());
            });
        } catch (IOException e) {
            throw new IllegalStateException("writing to a byte array failed", e);
        }
    }

    /** Decodes the fields of a record of a message that is over. */
    static CompletedMessages.Completion completion(DataInputStream in) throws IOException {
        return new CompletedMessages.Completion(in.readUTF(), in.readBoolean(), in.readLong());
    }

    /** Encodes the clocks of the process that writes the file. */
    static byte[] clock(ProcessClock.Reading clock) throws IOException {
        return record(CLOCK, 0, o -> {
            o.writeUTF(clock.bootId());
            o.writeLong(clock.millis());
            o.writeLong(clock.nanos());
        });
    }

    /** Encodes that a message was adopted. */
    static byte[] adopted(Journal.Origin origin) throws IOException {
        return record(ADOPTED, origin.number(), o -> o.writeLong(origin.process()));
    }

    /** Encodes a message and its class. */
    static byte[] accepted(Journal.Entry entry) throws IOException {
        Message message = entry.message;
        return record(entry.messageClass == null ? ACCEPTED_WITHOUT_CLASS : ACCEPTED, entry.number, o -> {
            if (entry.messageClass != null) {
                messageClass(o, entry.messageClass);
            }
            o.writeUTF(message.id());
            o.writeUTF(message.messageClass());
            o.writeInt(message.tenant());
            optionalText(o, message.routeKey());
            optionalText(o, message.idempotencyKey());
            o.writeLong(message.destination());
            o.writeLong(message.deadline());
            o.writeInt(message.body().length);
            o.write(message.body());
        });
    }

    private static void messageClass(DataOutputStream out, Relay.MessageClass messageClass)
        throws IOException {
        out.writeUTF(messageClass.name());
        out.writeLong(messageClass.aim());
        out.writeLong(messageClass.lifetime());
        out.writeDouble(messageClass.worth());
        out.writeDouble(messageClass.lateWorth());
        out.writeByte(messageClass.effect().ordinal());
        out.writeBoolean(messageClass.dedupPerZone());
        out.writeLong(messageClass.dedupWindow());
        out.writeBoolean(messageClass.inOrder());
        out.writeShort(messageClass.maxAttempts());
    }

    /** Decodes a message's class, which comes before the message. */
    static Relay.MessageClass messageClass(DataInputStream in) throws IOException {
        return new Relay.MessageClass(in.readUTF(), in.readLong(), in.readLong(), in.readDouble(),
            in.readDouble(), Relay.Effect.values()[in.readByte()], in.readBoolean(), in.readLong(),
            in.readBoolean(), in.readShort());
    }

    /** Decodes a message. */
    static Message readMessage(DataInputStream in) throws IOException {
        return new Message(in.readUTF(), in.readUTF(), in.readInt(), optionalText(in), optionalText(in),
            in.readLong(), in.readLong(), in.readNBytes(in.readInt()));
    }

    /** Encodes the record of an attempt. */
    static byte[] sent(Journal.Entry entry, Journal.Attempt attempt) throws IOException {
        return record(SENT, entry.number, o -> {
            o.writeLong(attempt.sentMillis);
            o.writeInt(attempt.zone);
        });
    }

    /** Encodes the record of a message's end. */
    static byte[] ended(long number, Journal.End end) throws IOException {
        return record(ENDED, number, o -> {
            o.writeBoolean(end.refused());
            o.writeLong(end.retryAfterMicros());
        });
    }

    /** Writes a text that may be null. */
    private static void optionalText(DataOutputStream out, String text) throws IOException {
        out.writeBoolean(text != null);
        if (text != null) {
            out.writeUTF(text);
        }
    }

    private static String optionalText(DataInputStream in) throws IOException {
        return in.readBoolean() ? in.readUTF() : null;
    }

    /** Returns the checksum of a record's content. */
    static int crc(ByteBuffer bytes) {
        CRC32 crc = new CRC32();
        crc.update(bytes);
        return (int) crc.getValue();
    }

    /** Returns the number of the message that a record is about. */
    static long messageNumber(byte[] record) {
        return ByteBuffer.wrap(record).getLong(HEADER_BYTES + 1);
    }

    /** Returns the size of all records that a message may need. */
    static long bytesToReserve(Journal.Entry entry) throws IOException {
        int maxAttempts = entry.messageClass == null ? DEFAULT_MAX_ATTEMPTS
            : entry.messageClass.maxAttempts();
        return accepted(entry).length + (long) maxAttempts * ATTEMPT_BYTES + END_BYTES;
    }
}
