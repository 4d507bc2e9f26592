package wrenkeel.soak;

import java.io.IOException;
import java.nio.ByteOrder;
import java.nio.MappedByteBuffer;
import java.nio.channels.FileChannel;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardOpenOption;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;

/**
 * Controls which system calls of one relay's process fail. The control file that {@code soak_shim.c} maps is
 * mapped here too, so that a change takes effect while the process runs. Any thread may call it.
 */
final class Shim {
    /**
     * The 32-bit words of the control file, in the order of the enum in the C source, which says what each of
     * them does.
     */
    enum Word {
        WALL_STEP_S, ACCEPT_ERRNO, ACCEPT_COUNT, CONNECT_ERRNO, CONNECT_COUNT, SOCKET_ERRNO, SOCKET_COUNT,
        FILE_ERRNO, FILE_HALF, SHORT_IO, EINTR_COUNT, PAUSE_MS, PAUSE_COUNT, READ_ERRNO, READ_COUNT,
        FAILED_READS
    }

    /**
     * A read of a connection that the shim has let fail.
     *
     * @param peerPort port of the connection's other side
     * @param agoMillis how long ago
     */
    record FailedRead(int peerPort, long agoMillis) { }

    /** Entries in the log of failed reads, which follows the words; each has two words. */
    private static final int MAX_FAILED_READS = 4_096;

    /** Error numbers of Linux. */
    static final int EIO = 5, ENFILE = 23, ENOSPC = 28, EADDRNOTAVAIL = 99, ENETUNREACH = 101, ENOBUFS = 105,
        ETIMEDOUT = 110, EHOSTUNREACH = 113;

    private static final String SOURCE = "src/main/native/soak_shim.c";

    private final Path file;
    private final MappedByteBuffer words;

    /** Creates the control file with all words 0: no call fails. */
    Shim(Path file) throws IOException {
        this.file = file;
        int bytes = (Word.values().length + 2 * MAX_FAILED_READS) * Integer.BYTES;
        Files.write(file, new byte[bytes]);
        try (FileChannel channel = FileChannel.open(file, StandardOpenOption.READ,
                StandardOpenOption.WRITE)) {
            words = channel.map(FileChannel.MapMode.READ_WRITE, 0, bytes);
        }
        words.order(ByteOrder.nativeOrder());
    }

    /** Changes one word of the control file; takes effect at the next system call that reads it. */
    void set(Word word, int value) {
        words.putInt(word.ordinal() * Integer.BYTES, value);
    }

    /** Returns the reads that have failed so far. */
    List<FailedRead> failedReads() {
        int nowMillis = (int) TimeUnit.NANOSECONDS.toMillis(System.nanoTime());
        int count = Math.min(MAX_FAILED_READS, words.getInt(Word.FAILED_READS.ordinal() * Integer.BYTES));
        List<FailedRead> reads = new ArrayList<>();
        for (int i = 0; i < count; i++) {
            int entry = (Word.values().length + 2 * i) * Integer.BYTES;
            // The log has the lower 32 bits of the time.
            int agoMillis = nowMillis - words.getInt(entry + Integer.BYTES);
            reads.add(new FailedRead(words.getInt(entry), agoMillis));
        }
        return reads;
    }

    /** The environment variables that load the shim into a process. */
    Map<String, String> environment(Path library) {
        return Map.of("LD_PRELOAD", library.toString(), "SOAK_SHIM", file.toString());
    }

    /**
     * Compiles the shim into a folder and returns the library's path.
     *
     * @throws IOException if there is no C compiler, or it fails or takes longer than 60 s
     */
    static Path compile(Path root, Path folder) throws IOException, InterruptedException {
        Path library = folder.resolve("soak_shim.so");
        Process compiler;
        try {
            compiler = new ProcessBuilder("cc", "-shared", "-fPIC", "-O2", "-o", library.toString(),
                root.resolve(SOURCE).toString(), "-ldl").inheritIO().start();
        } catch (IOException e) {
            throw new IOException("cannot run the C compiler cc (Debian package gcc): " + e.getMessage(), e);
        }
        if (!compiler.waitFor(60, TimeUnit.SECONDS) || compiler.exitValue() != 0) {
            throw new IOException("compiling " + SOURCE + " failed");
        }
        return library;
    }
}
