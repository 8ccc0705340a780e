package maplerail.support;

import static java.nio.charset.StandardCharsets.UTF_8;

import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;

/**
 * One form of the stream that a writer sends after the head: pieces of text with the pauses before them, some of which
 * repeat until the connection ends. It knows which events are sound, and records when each of them was written.
 */
public final class StreamForm {
    /** Events as engines send them. */
    private static final String EVENT_FORMAT = "data: {\"choices\":[{\"index\":0,\"delta\":{\"content\":\"n%03d\"},"
            + "\"finish_reason\":null}]}\n\n";
    public static final String DONE = "data: [DONE]\n\n";
    public static final String LAST_CHUNK = "0\r\n\r\n";
    private static final long NEVER_ENDING_MS = 20_000;

    /** A text that is written after a pause; events of which it holds the last byte, and whether it repeats. */
    private record Step(String text, long pauseMs, List<String> events, boolean repeated) {}

    private final String name;
    private final List<Step> steps = new ArrayList<>();
    private final StringBuilder expected = new StringBuilder();
    private final List<Double> eventTimesMs = new ArrayList<>();
    private int eventNumber;
    private boolean whole;

    public StreamForm(String name) {
        this.name = name;
    }

    public String name() {
        return name;
    }

    public static double nowMs() {
        return System.nanoTime() / 1e6;
    }

    public static String frame(String data) {
        return Integer.toHexString(data.getBytes(UTF_8).length) + "\r\n" + data + "\r\n";
    }

    /** The next numbered event. */
    public String nextEvent() {
        return EVENT_FORMAT.formatted(eventNumber++);
    }

    /** Writes sound events, each in a chunk of its own and after a pause. */
    public StreamForm events(int count, long pauseMs) {
        for (int i = 0; i < count; i++) event(nextEvent(), pauseMs);
        return this;
    }

    /** Writes a sound event in a chunk of its own. */
    public StreamForm event(String event, long pauseMs) {
        return text(frame(event), pauseMs, event);
    }

    /** Writes a text that holds the last byte of some sound events, or of none. */
    public StreamForm text(String text, long pauseMs, String... events) {
        steps.add(new Step(text, pauseMs, List.of(events), false));
        for (String event : events) expected.append(event);
        return this;
    }

    /** Writes a text byte by byte, evenly over a time span; its last byte ends the events. */
    public StreamForm slowly(String text, long spanMs, String... events) {
        for (int i = 0; i < text.length() - 1; i++) text(text.substring(i, i + 1), spanMs / text.length());
        return text(text.substring(text.length() - 1), spanMs / text.length(), events);
    }

    /** Repeats a text, one piece after each pause, until the connection ends. */
    public StreamForm forever(String text, long pauseMs) {
        steps.add(new Step(text, pauseMs, List.of(), true));
        return this;
    }

    /** Says nothing more until the connection ends. */
    public StreamForm silence() {
        return forever("", 250);
    }

    /** Ends the stream: it is sound and has to be passed on whole. */
    public StreamForm end() {
        return event(DONE, 0).finish(LAST_CHUNK);
    }

    /** Writes the rest of a stream whose last event has been written. */
    public StreamForm finish(String rest) {
        whole = true;
        return text(rest, 0);
    }

    public boolean whole() {
        return whole;
    }

    /** All sound events, in order. */
    public String expected() {
        return expected.toString();
    }

    /** When each sound event had been written. */
    public synchronized List<Double> eventTimesMs() {
        return List.copyOf(eventTimesMs);
    }

    /** Plays the form to the gateway, until it is over or the connection ends. */
    public void play(StandIn.Exchange exchange) throws IOException, InterruptedException {
        for (Step step : steps) {
            double untilMs = nowMs() + NEVER_ENDING_MS;
            do {
                TimeUnit.MILLISECONDS.sleep(step.pauseMs());
                exchange.write(step.text());
                if (step.text().isEmpty() && exchange.isClosedByPeer()) return;
            } while (step.repeated() && nowMs() < untilMs);
            record(step);
        }
    }

    private synchronized void record(Step step) {
        for (int i = 0; i < step.events().size(); i++) eventTimesMs.add(nowMs());
    }
}
