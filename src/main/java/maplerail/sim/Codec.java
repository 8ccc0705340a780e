package maplerail.sim;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.InputStream;
import java.nio.ByteBuffer;
import java.nio.ByteOrder;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import maplerail.Router;
import maplerail.Router.Action;
import maplerail.Router.Event;

/**
 * Decodes and encodes the frames of the simulator's protocol: batches of event records are received, replies with action
 * records are sent.
 */
final class Codec {
    static final int HEADER_BYTES = 16;
    static final int EVENT_BYTES = 64;
    static final int ACTION_BYTES = 24;
    static final int MEMBER_BYTES = 23;

    static final int SELECT_INSTANCE = 1110;
    static final int LAUNCH = 1000;
    static final int SHUTDOWN = 1090;

    private Codec() {}

    /** A batch as received: its clock, its event records and a tail with their lists and texts. */
    static final class Batch {
        final double clockMs;
        final int recordCount;
        private final ByteBuffer body;
        private final int tailStart;

        Batch(double clockMs, int recordCount, ByteBuffer body) {
            this.clockMs = clockMs;
            this.recordCount = recordCount;
            this.body = body;
            this.tailStart = recordCount * EVENT_BYTES;
        }

        int code(int record) {
            return Short.toUnsignedInt(body.getShort(record * EVENT_BYTES));
        }

        int instance(int record) {
            return u16(record, 2);
        }

        int u8(int record, int offset) {
            return Byte.toUnsignedInt(body.get(record * EVENT_BYTES + offset));
        }

        int u16(int record, int offset) {
            return Short.toUnsignedInt(body.getShort(record * EVENT_BYTES + offset));
        }

        long u32(int record, int offset) {
            return Integer.toUnsignedLong(body.getInt(record * EVENT_BYTES + offset));
        }

        long u64(int record, int offset) {
            return body.getLong(record * EVENT_BYTES + offset);
        }

        float f32(int record, int offset) {
            return body.getFloat(record * EVENT_BYTES + offset);
        }

        double f64(int record, int offset) {
            return body.getDouble(record * EVENT_BYTES + offset);
        }

        long engine(int record, int offset) {
            return engineAt(record * EVENT_BYTES + offset);
        }

        private long engineAt(int position) {
            return Integer.toUnsignedLong(body.getInt(position)) << 16
                    | Short.toUnsignedLong(body.getShort(position + 4));
        }

        /**
         * Returns the position in the body to which a tail reference points; a reference past the frame is an error.
         */
        private int tailPosition(int record, int field, int unitBytes) {
            long offset = u32(record, field);
            long bytes = u32(record, field + 4) * unitBytes;
            if (tailStart + offset + bytes > body.limit()) {
                throw new WireException("record " + record + ": tail reference " + offset + "+" + bytes
                        + " is outside a tail of " + (body.limit() - tailStart) + " bytes");
            }
            return (int) (tailStart + offset);
        }

        String text(int record, int field) {
            int start = tailPosition(record, field, 1);
            return new String(body.array(), start, (int) u32(record, field + 4), StandardCharsets.UTF_8);
        }

        private List<Router.Member> members(int record, int field) {
            int entry = tailPosition(record, field, MEMBER_BYTES);
            int count = (int) u32(record, field + 4);
            List<Router.Member> members = new ArrayList<>(count);
            for (int i = 0; i < count; i++, entry += MEMBER_BYTES) {
                int health = Byte.toUnsignedInt(body.get(entry));
                Router.State state = switch (health) {
                    case 0 -> Router.State.GONE;
                    case 1 -> Router.State.READY;
                    case 2 -> Router.State.DRAINING;
                    default -> throw new WireException("record " + record + ": entry " + i + ": health " + health);
                };
                members.add(new Router.Member(engineAt(entry + 9), state, body.getDouble(entry + 1),
                        Byte.toUnsignedInt(body.get(entry + 15)), Short.toUnsignedInt(body.getShort(entry + 16)),
                        body.getFloat(entry + 18), Byte.toUnsignedInt(body.get(entry + 22))));
            }
            return members;
        }

        /** Returns the event of a record, or null for one that the decision module does not use. */
        Event event(int record, int memoryColumn) {
            int code = code(record);
            return switch (code) {
                case 1010 -> new Router.Members(listKind(record), u64(record, 3), members(record, 11));
                case 1020 -> new Router.Arrival(u64(record, 2), u8(record, 19), (int) u32(record, 44),
                        u64(record, 11), f32(record, 20), u64(record, 24), f32(record, 40), f64(record, 32),
                        f32(record, 48), (u8(record, 10) & 1) != 0 ? f64(record, 52) : 0,
                        (u8(record, 10) & 16) != 0);
                case 1030 -> new Router.FirstToken(u64(record, 2), u8(record, 10), engine(record, 19),
                        f64(record, 11));
                case 1040 -> new Router.Ended(u64(record, 2), u8(record, 23), engine(record, 25), outcome(record),
                        f64(record, 15), u32(record, 10), u8(record, 24) != 0, load(record, 31, memoryColumn));
                case 1050 -> new Router.Abandoned(u64(record, 2));
                case 1060 -> new Router.Timer(u64(record, 2));
                // Probe answers, messages of peers and notes on locations, none of which this program requests.
                case 1070, 1080, 1100 -> null;
                default -> throw new WireException("record " + record + ": unknown code " + code);
            };
        }

        private Router.ListKind listKind(int record) {
            int scope = u8(record, 2);
            return switch (scope) {
                case 0 -> Router.ListKind.WHOLE;
                case 1 -> Router.ListKind.REMEMBERED;
                case 2 -> Router.ListKind.CHANGES;
                case 3 -> Router.ListKind.FAILED;
                default -> throw new WireException("record " + record + ": list scope " + scope);
            };
        }

        private Router.Outcome outcome(int record) {
            int result = u8(record, 14);
            return switch (result) {
                case 0 -> Router.Outcome.SERVED;
                case 5 -> Router.Outcome.ERROR;
                case 11 -> u32(record, 10) == 1 ? Router.Outcome.STATE_GONE : Router.Outcome.FULL;
                case 110 -> Router.Outcome.TIMEOUT;
                case 111 -> Router.Outcome.UNREACHABLE;
                case 104 -> Router.Outcome.RESET;
                case 125 -> Router.Outcome.CANCELLED;
                case 114 -> Router.Outcome.NOT_SENT;
                case 210 -> Router.Outcome.READ;
                default -> throw new WireException("record " + record + ": unknown result " + result);
            };
        }

        private Router.Load load(int record, int offset, int memoryColumn) {
            boolean reported = memoryColumn >= 0 && memoryColumn < u8(record, offset);
            return new Router.Load(reported ? f32(record, offset + 1 + 4 * memoryColumn) : Double.NaN);
        }
    }

    /** Reads a batch; returns null at the end of input. */
    static Batch read(InputStream in) throws IOException {
        byte[] headerBytes = in.readNBytes(HEADER_BYTES);
        if (headerBytes.length == 0) {
            return null;
        }
        if (headerBytes.length < HEADER_BYTES) {
            throw new WireException(
                    "header: input ends after " + headerBytes.length + " of " + HEADER_BYTES + " bytes");
        }
        ByteBuffer header = ByteBuffer.wrap(headerBytes).order(ByteOrder.LITTLE_ENDIAN);
        long recordCount = Integer.toUnsignedLong(header.getInt());
        long length = Integer.toUnsignedLong(header.getInt());
        if (recordCount * EVENT_BYTES > length || length > Integer.MAX_VALUE - HEADER_BYTES) {
            throw new WireException("header: " + recordCount + " records do not fit " + length + " bytes");
        }
        byte[] body = in.readNBytes((int) length);
        if (body.length < length) {
            throw new WireException("body: input ends after " + body.length + " of " + length + " bytes");
        }
        return new Batch(header.getDouble(), (int) recordCount, ByteBuffer.wrap(body).order(ByteOrder.LITTLE_ENDIAN));
    }

    /** Builds the reply to a batch. */
    static final class Reply {
        private final ByteBuffer record = ByteBuffer.allocate(ACTION_BYTES).order(ByteOrder.LITTLE_ENDIAN);
        private final ByteArrayOutputStream records = new ByteArrayOutputStream();
        private final ByteArrayOutputStream tail = new ByteArrayOutputStream();
        private int count;

        private ByteBuffer beginRecord(int code) {
            java.util.Arrays.fill(record.array(), (byte) 0);
            return record.clear().putShort((short) code);
        }

        private void endRecord() {
            records.write(record.array(), 0, ACTION_BYTES);
            count++;
        }

        void instance(int number) {
            beginRecord(1140).putShort((short) number);
            endRecord();
        }

        void fault(String line) {
            text(1010, line);
        }

        private void text(int code, String line) {
            byte[] bytes = line.getBytes(StandardCharsets.UTF_8);
            beginRecord(code).putInt(tail.size()).putInt(bytes.length);
            tail.writeBytes(bytes);
            endRecord();
        }

        private static void putEngine(ByteBuffer buffer, long engine) {
            buffer.putInt((int) (engine >>> 16)).putShort((short) engine);
        }

        void action(Action action) {
            if (action instanceof Router.Log log) {
                text(1110, log.text());
                return;
            }
            if (action instanceof Router.Send send) {
                ByteBuffer buffer = beginRecord(1060).putLong(send.id());
                putEngine(buffer, send.engine());
                buffer.putDouble(send.deadlineMs());
            } else if (action instanceof Router.Cancel cancel) {
                beginRecord(1090).putLong(cancel.id()).put((byte) cancel.attempt());
            } else if (action instanceof Router.Release release) {
                beginRecord(1100).putLong(release.id());
            } else if (action instanceof Router.Reclaim reclaim) {
                beginRecord(1100).putLong(reclaim.id());
            } else if (action instanceof Router.Refuse refuse) {
                beginRecord(1050).putLong(refuse.id()).putDouble(refuse.retryAfterMs());
            } else if (action instanceof Router.Fail fail) {
                beginRecord(1130).putLong(fail.id());
            } else if (action instanceof Router.SetTimer timer) {
                beginRecord(1070).putLong(timer.token()).putDouble(timer.atMs());
            } else if (action instanceof Router.Subscribe) {
                beginRecord(1120).put((byte) 1);
            } else if (action instanceof Router.FetchList) {
                beginRecord(1150);
            }
            endRecord();
        }

        byte[] bytes() {
            byte[] body = records.toByteArray();
            return ByteBuffer.allocate(8 + body.length + tail.size()).order(ByteOrder.LITTLE_ENDIAN)
                    .putInt(body.length + tail.size()).putInt(count).put(body).put(tail.toByteArray()).array();
        }
    }
}
