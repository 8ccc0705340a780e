package maplerail.cli;

import static java.nio.charset.StandardCharsets.ISO_8859_1;
import static java.nio.charset.StandardCharsets.UTF_8;
import static maplerail.support.StreamForm.DONE;
import static maplerail.support.StreamForm.LAST_CHUNK;
import static maplerail.support.StreamForm.frame;
import static maplerail.support.StreamForm.nowMs;
import static org.assertj.core.api.Assertions.assertThat;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.InputStream;
import java.net.Socket;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Collection;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.Future;
import java.util.concurrent.TimeUnit;
import java.util.stream.Collectors;
import maplerail.support.GatewayFixture;
import maplerail.support.GatewayProgram;
import maplerail.support.StandIn;
import maplerail.support.StreamForm;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/** Runs a gateway process with a writer whose streams are sound but slow, or spoilt while their bytes keep coming. */
class SpoiltStreamIT {
    private static final double END_TIMEOUT_MS = 5_000; // after the last event, by TERMS
    private static final double HELD_BACK_MS = 300; // from an engine to the client, by STANDING
    private static final String HEAD = "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n";
    private static final String CHUNKED = HEAD + "Transfer-Encoding: chunked\r\n\r\n";
    private static final String NOISE = "x".repeat(3_000);

    @TempDir
    Path folder;

    private static StreamForm form(String name) {
        return new StreamForm(name).text(CHUNKED, 0);
    }

    /** A form whose first three events are sound. */
    private static StreamForm begun(String name) {
        return form(name).events(3, 50);
    }

    private static StreamForm ended(String name) {
        return begun(name).event(DONE, 50);
    }

    /** Sizes in hexadecimal that are larger than what belongs to the chunk, under and over any limit. */
    private static List<String> wrongSizes() {
        return List.of("7b", "400", "10000", "fffff", "100000", "c0000000", "00000000c0000000");
    }

    private static List<StreamForm> spoiltForms() {
        List<StreamForm> forms = new ArrayList<>(framingForms());
        forms.addAll(chunkForms());
        forms.addAll(textForms());
        forms.addAll(formsBehindTheLastEvent());
        return forms;
    }

    private static List<StreamForm> framingForms() {
        return List.of(begun("size of zeros").forever("0", 250), begun("size that never ends").forever("1", 250),
                begun("size with an extension that never ends").text("1f;a=", 250).forever("b", 250),
                begun("size of blanks").forever(" ", 250), begun("size that ends with CR alone").forever("1f\r", 250),
                begun("size that can't be read").text("zz\r\n", 50).forever(frame(": x\n\n"), 250),
                begun("chunk end that never ends").text("3\r\n: x", 50).forever(" ", 250),
                begun("chunk end of CR").text("3\r\n: x", 50).forever("\r", 250),
                begun("chunk end of noise").text("3\r\n: x", 50).forever("x", 250),
                begun("trailers that never end").text("0\r\n", 50).forever("X-A: b\r\n", 250),
                begun("trailer that never ends").text("0\r\nX-A: ", 50).forever("b", 250),
                begun("extensions around blanks").forever("1;" + "a".repeat(500) + "\r\n\n\r\n", 250));
    }

    private static List<StreamForm> chunkForms() {
        List<StreamForm> forms = new ArrayList<>();
        for (String size : wrongSizes()) {
            StreamForm framed = begun("frames in a chunk of " + size).text(size + "\r\n", 50);
            String event = framed.nextEvent();
            forms.add(framed.text(event + "\r\n", 50).forever(frame(event), 250));
            forms.add(begun("noise in a chunk of " + size).text(size + "\r\n", 50).forever(NOISE, 250));
            forms.add(begun("blanks in a chunk of " + size).text(size + "\r\n", 50).forever(" ", 250));
            forms.add(begun("empty lines in a chunk of " + size).text(size + "\r\n", 50).forever("\n", 250));
            forms.add(begun("binary in a chunk of " + size).text(size + "\r\n", 50).forever("\u0000\u0001", 250));
            forms.add(begun("frames within an event in a chunk of " + size).text(size + "\r\ndata: {\"a\":\r\n", 50)
                    .forever(frame("1,"), 250));
            forms.add(begun("frames with an extension in a chunk of " + size).text(size + "\r\n", 50)
                    .forever("\r\n9;a=b:c\r\ndata: 1\n\n", 250));
        }
        StreamForm gigabytes = begun("sound-looking events in a chunk of gigabytes").text("c0000000\r\n", 250);
        forms.add(gigabytes.forever(gigabytes.nextEvent(), 250));
        StreamForm beyond = begun("more events in a chunk than an answer has").text("40000\r\n", 50);
        forms.add(beyond.forever(beyond.nextEvent().repeat(30), 250));
        return forms;
    }

    private static List<StreamForm> textForms() {
        String megabyte = begun("").nextEvent().substring(0, 40) + NOISE;
        return List.of(begun("comments alone").forever(frame(": ping\n\n"), 250),
                begun("lines that are no field").forever(frame("noise\n"), 250),
                begun("fields that are not known").forever(frame("foo: bar\n"), 250),
                begun("noise without lines").forever(frame(NOISE), 250),
                begun("blanks in sound chunks").forever(frame(" "), 250),
                begun("an event that grows beyond an answer").text(frame(megabyte), 50).forever(frame(NOISE), 250),
                new StreamForm("comments without framing").text(HEAD + "Connection: close\r\n\r\n", 0)
                        .text("data: 1\n\n", 50, "data: 1\n\n").forever(": x\n\n", 250),
                new StreamForm("blanks in gigabytes").text(HEAD + "Content-Length: 3221225472\r\n\r\n", 0)
                        .text("data: 1\n\n", 50, "data: 1\n\n").forever(" ", 250));
    }

    private static List<StreamForm> formsBehindTheLastEvent() {
        StreamForm events = ended("events behind the last event");
        return List.of(events.forever(frame(events.nextEvent()), 250),
                ended("last events for ever").forever(frame(DONE), 250),
                ended("comments behind the last event").forever(frame(": x\n\n"), 250),
                ended("an event behind the last event that never ends").forever(frame("data: x"), 250),
                ended("a size behind the last event that never ends").forever("0", 250),
                ended("trailers behind the last event").text("0\r\n", 50).forever("X-A: b\r\n", 250),
                ended("silence behind the last event").silence(), begun("silence").silence());
    }

    private static List<StreamForm> soundForms() {
        StreamForm longEvent = begun("an event that takes 9 s");
        String slow = longEvent.nextEvent();
        longEvent.slowly(frame(slow), 9_000, slow);
        StreamForm longChunk = begun("a chunk of 40 events that takes 10 s");
        List<String> events = new ArrayList<>();
        for (int i = 0; i < 40; i++) events.add(longChunk.nextEvent());
        longChunk.text(Integer.toHexString(String.join("", events).length()) + "\r\n", 50);
        for (String event : events) longChunk.text(event, 250, event);
        longChunk.text("\r\n", 50);
        StreamForm split = begun("events split over chunks");
        for (int i = 0; i < 5; i++) {
            String event = split.nextEvent();
            split.text(frame(event.substring(0, 20)), 500).text(frame(event.substring(20)), 500, event);
        }
        StreamForm slowFrames = begun("frames that come byte by byte");
        for (int i = 0; i < 2; i++) {
            String event = slowFrames.nextEvent();
            slowFrames.slowly(Integer.toHexString(event.length()) + "\r\n", 1_000).text(event, 0, event)
                    .slowly("\r\n", 500);
        }
        String large = "data: " + "y".repeat(60_000) + "\n\n";
        StreamForm largeEvent = begun("an event of 60 KB in pieces").text(Integer.toHexString(large.length()) + "\r\n",
                0);
        for (int i = 0; i < 10; i++) largeEvent.text(large.substring(i * 6_000, (i + 1) * 6_000), 150);
        largeEvent.text(large.substring(60_000), 0, large).text("\r\n", 0);
        return List.of(begun("events every 3 s").events(3, 3_000).end(), longEvent.end(), longChunk.end(), split.end(),
                slowFrames.end(), largeEvent.end(), begun("events byte by byte").slowly(frame("data: 1f\n\n"), 3_000,
                        "data: 1f\n\n").end(),
                begun("comments between events").text(frame(": ping\n\n"), 1_500, ": ping\n\n")
                        .text(frame(": ping\n\n"), 1_500, ": ping\n\n").events(3, 500).end(),
                begun("other line ends and fields").event("id: 7\r\nevent: x\r\ndata: a\r\ndata: \u00fc\r\n\r\n", 50)
                        .event("foo: bar\ndata\n\n", 50).end(),
                begun("extensions and trailers").text("9;a=b\r\ndata: 1\n\n\r\n", 50, "data: 1\n\n").event(DONE, 50)
                        .finish("0\r\nServer-Timing: total;dur=3\r\n\r\n"),
                begun("two events and the last in a chunk").event("data: 1\n\ndata: 2\n\n" + DONE, 50)
                        .finish(LAST_CHUNK),
                begun("empty lines between events").event("data: 1\n\n\n\r\n", 50).event("data: 2\n\n", 50).end());
    }

    /** What a client received of one stream, and when. */
    private static final class Received {
        private final ByteArrayOutputStream bytes = new ByteArrayOutputStream();
        private final List<Integer> sizes = new ArrayList<>();
        private final List<Double> timesMs = new ArrayList<>();
        private double endMs;

        void read(InputStream in) {
            byte[] buffer = new byte[8_192];
            try {
                for (int count = in.read(buffer); count >= 0; count = in.read(buffer)) {
                    bytes.write(buffer, 0, count);
                    sizes.add(bytes.size());
                    timesMs.add(nowMs());
                }
            } catch (IOException e) {
                // A reset ends the connection as well.
                sizes.add(bytes.size());
                timesMs.add(nowMs());
            }
            endMs = nowMs();
        }

        String text() {
            return bytes.toString(UTF_8);
        }

        /** The body without its framing. */
        String body() {
            StringBuilder body = new StringBuilder();
            String text = bytes.toString(ISO_8859_1);
            int at = text.indexOf("\r\n\r\n") + 4;
            while (at >= 4 && text.indexOf("\r\n", at) > 0) {
                int lineEnd = text.indexOf("\r\n", at);
                int size = Integer.parseInt(text.substring(at, lineEnd).trim(), 16);
                int end = Math.min(text.length(), lineEnd + 2 + size);
                body.append(text, lineEnd + 2, end);
                at = end + 2;
            }
            return new String(body.toString().getBytes(ISO_8859_1), UTF_8);
        }

        /** When as many bytes of the connection had arrived. */
        double arrivedMs(int size) {
            for (int i = 0; i < sizes.size(); i++) if (sizes.get(i) >= size) return timesMs.get(i);
            return Double.POSITIVE_INFINITY;
        }
    }

    /** What happens to the gateway while the streams are under way. */
    private interface Trouble {
        void cause(GatewayProgram gateway) throws Exception;
    }

    private interface Check {
        String fault(StreamForm form, Received received);
    }

    /** Plays all forms at once and returns what was wrong with each, by its name. */
    private Map<String, String> faults(Collection<StreamForm> all, Check check, Trouble trouble) throws Exception {
        Map<String, StreamForm> forms = new LinkedHashMap<>();
        for (StreamForm form : all) forms.put("f" + forms.size(), form);
        Map<String, String> faults = new LinkedHashMap<>();
        ExecutorService clients = Executors.newCachedThreadPool();
        try (StandIn reader = GatewayFixture.reader();
                StandIn writer = new StandIn(exchange -> {
                    if (exchange.method.equals("DELETE")) exchange.reply(204, "");
                    else forms.get(exchange.headers.get("req-id")).play(exchange);
                });
                GatewayFixture fixture = new GatewayFixture().engine("r", "prefill", reader).engine("w", "decode",
                        writer);
                GatewayProgram gateway = GatewayProgram.serve(folder, fixture.config("127.0.0.1:0"))) {
            int port = gateway.readyPort();
            Map<String, Future<Received>> answers = new LinkedHashMap<>();
            for (String id : forms.keySet()) answers.put(id, clients.submit(() -> exchange(port, id)));
            GatewayFixture.await("all streams have begun", () -> writer.count("POST") == forms.size());
            trouble.cause(gateway);
            for (Map.Entry<String, Future<Received>> answer : answers.entrySet()) {
                StreamForm form = forms.get(answer.getKey());
                Received received = answer.getValue().get();
                String fault = received.text().startsWith("HTTP/1.1 200") ? check.fault(form, received)
                        : "not begun: " + received.text().lines().findFirst().orElse("closed");
                if (!fault.isEmpty()) faults.put(form.name(), fault);
            }
        } finally {
            clients.shutdownNow();
        }
        return faults;
    }

    private static Received exchange(int port, String id) throws IOException {
        Received received = new Received();
        try (Socket client = new Socket("127.0.0.1", port)) {
            String request = GatewayFixture.request(id, "repair-order", "8.0").replaceFirst("\r\n",
                    "\r\nConnection: close\r\n");
            client.getOutputStream().write(request.getBytes(UTF_8));
            received.read(client.getInputStream());
        }
        return received;
    }

    private static String spoiltFault(StreamForm form, Received received) {
        double openMs = received.endMs - form.eventTimesMs().get(form.eventTimesMs().size() - 1);
        if (received.text().endsWith("\r\n" + LAST_CHUNK)) return "ended as if it were whole";
        if (openMs > END_TIMEOUT_MS) return "open for " + Math.round(openMs) + " ms after the last event";
        return received.body().startsWith(form.expected()) ? "" : "sound events are missing: " + received.body();
    }

    private static String soundFault(StreamForm form, Received received) {
        if (!received.text().endsWith("\r\n" + LAST_CHUNK)) return "not whole, ended after " + received.body().length();
        if (!received.body().equals(form.expected())) return "changed: " + received.body();
        double latestMs = 0;
        List<Double> written = form.eventTimesMs();
        String text = received.text();
        int at = 0;
        for (int i = 0; i < written.size(); i++) {
            at = text.indexOf("\n\n", at) >= 0 ? text.indexOf("\n\n", at) + 2 : text.length();
            latestMs = Math.max(latestMs, received.arrivedMs(at) - written.get(i));
        }
        return latestMs > HELD_BACK_MS ? "an event held back for " + Math.round(latestMs) + " ms" : "";
    }

    private static String describe(Map<String, String> faults) {
        return faults.entrySet().stream().map(fault -> fault.getKey() + ": " + fault.getValue())
                .collect(Collectors.joining("\n", "\n", "\n"));
    }

    /** Guards against leaving a client waiting on a spoilt stream whose bytes keep coming. */
    @Test
    void aSpoiltStreamEndsItsClientsConnectionInTime() throws Exception {
        Map<String, String> faults = faults(spoiltForms(), SpoiltStreamIT::spoiltFault, gateway -> {});
        assertThat(faults).as(describe(faults)).isEmpty();
    }

    /** Guards against spoilt streams that keep a gateway from ending, or clients waiting, after SIGTERM. */
    @Test
    void aSpoiltStreamEndsItsClientsConnectionInTimeWhileTheGatewayDrains() throws Exception {
        Map<String, String> faults = faults(spoiltForms(), SpoiltStreamIT::spoiltFault, gateway -> {
            gateway.signal("TERM");
            assertThat(gateway.process().waitFor(2 * (long) END_TIMEOUT_MS, TimeUnit.MILLISECONDS)).isTrue();
        });
        assertThat(faults).as(describe(faults)).isEmpty();
    }

    /** Guards against cutting a sound stream, or holding its events back, for the way in which it arrives. */
    @Test
    void aSoundStreamIsPassedOnWholeAndWithoutDelay() throws Exception {
        Map<String, String> faults = faults(soundForms(), SpoiltStreamIT::soundFault, gateway -> {});
        assertThat(faults).as(describe(faults)).isEmpty();
    }

    /** Guards against cutting sound streams, or holding them back, as the gateway drains. */
    @Test
    void aSoundStreamIsPassedOnWholeAndWithoutDelayWhileTheGatewayDrains() throws Exception {
        Map<String, String> faults = faults(soundForms(), SpoiltStreamIT::soundFault,
                gateway -> gateway.signal("TERM"));
        assertThat(faults).as(describe(faults)).isEmpty();
    }
}
