package maplerail.soak;

import java.io.IOException;
import java.nio.ByteOrder;
import java.nio.MappedByteBuffer;
import java.nio.channels.FileChannel;
import java.nio.file.Path;
import java.nio.file.StandardOpenOption;

/** The control file of src/test/native/faultshim.c, which sets the faults that one process sees from now on. */
final class ShimControl {
    /** The errno values of Linux. */
    static final int EIO = 5;
    static final int ENFILE = 23;
    static final int EMFILE = 24;
    static final int EADDRNOTAVAIL = 99;
    static final int ENETUNREACH = 101;
    static final int ECONNABORTED = 103;
    static final int ENOBUFS = 105;
    static final int ETIMEDOUT = 110;
    static final int EHOSTUNREACH = 113;

    private static final int FILE_BYTES = 4_096;

    private final MappedByteBuffer control;

    /** A 32-bit field of struct control, with its offset in the file in bytes. */
    enum Field {
        ACCEPT_ERRNO(8), CONNECT_ERRNO(12), SOCKET_ERRNO(16), READ_ERRNO(20), READ_PERMILLE(24), SHORT_IO(
                28), EINTR_PERMILLE(32), OPEN_ERRNO(36);

        private final int offset;

        Field(int offset) {
            this.offset = offset;
        }
    }

    ShimControl(Path file) throws IOException {
        try (FileChannel channel = FileChannel.open(file, StandardOpenOption.CREATE, StandardOpenOption.READ,
                StandardOpenOption.WRITE)) {
            control = channel.map(FileChannel.MapMode.READ_WRITE, 0, FILE_BYTES);
        }
        control.order(ByteOrder.nativeOrder());
    }

    /** Sets the offset of the wall clock from the true time, in milliseconds. */
    void wallOffsetMs(long offsetMs) {
        control.putLong(0, offsetMs);
    }

    void set(Field field, int value) {
        control.putInt(field.offset, value);
    }

    /** Ends all faults; the offset of the wall clock stays. */
    void clear() {
        for (Field field : Field.values()) set(field, 0);
    }
}
