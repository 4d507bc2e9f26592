package wrenkeel.net;

import java.io.IOException;
import java.nio.channels.FileChannel;
import java.nio.file.Files;
import java.nio.file.OpenOption;
import java.nio.file.Path;
import java.nio.file.StandardCopyOption;

/** Operations on files in the state folder. Each of them may fail for a while, as on a full disk. */
interface FileOperations {
    /** The operations of the real file system. */
    FileOperations SYSTEM = new FileOperations() {
        @Override
        public FileChannel open(Path file, OpenOption... options) throws IOException {
            return FileChannel.open(file, options);
        }

        @Override
        public void replace(Path source, Path target) throws IOException {
            Files.move(source, target, StandardCopyOption.ATOMIC_MOVE, StandardCopyOption.REPLACE_EXISTING);
        }

        @Override
        public void delete(Path file) throws IOException {
            Files.deleteIfExists(file);
        }
    };

    /** Opens a file with the given options. */
    FileChannel open(Path file, OpenOption... options) throws IOException;

    /** Renames {@code source} to {@code target} atomically, replacing a file of that name. */
    void replace(Path source, Path target) throws IOException;

    /** Deletes a file if it exists. */
    void delete(Path file) throws IOException;
}
