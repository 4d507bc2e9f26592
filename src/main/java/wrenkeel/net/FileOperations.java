package wrenkeel.net;

import java.io.IOException;
import java.nio.channels.FileChannel;
import java.nio.file.Files;
import java.nio.file.OpenOption;
import java.nio.file.Path;
import java.nio.file.StandardCopyOption;

/** What the relay does to files of the lasting folder; each call may fail for a while. */
interface FileOperations {
    /** The real file system. */
    FileOperations SYSTEM = new FileOperations() {
        @Override
        public FileChannel open(Path file, OpenOption... options) throws IOException {
            return FileChannel.open(file, options);
        }

        @Override
        public void replace(Path by, Path file) throws IOException {
            Files.move(by, file, StandardCopyOption.ATOMIC_MOVE, StandardCopyOption.REPLACE_EXISTING);
        }

        @Override
        public void delete(Path file) throws IOException {
            Files.deleteIfExists(file);
        }
    };

    /** Opens a file for the options given. */
    FileChannel open(Path file, OpenOption... options) throws IOException;

    /** Renames {@code by} to {@code file} in one step; what stood there is gone. */
    void replace(Path by, Path file) throws IOException;

    /** Deletes a file; one that is not there is no failure. */
    void delete(Path file) throws IOException;
}
