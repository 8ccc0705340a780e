package maplerail.front;

import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import maplerail.support.StandIn;

/** A fake Consul with the documented HTTP API as far as the gateway uses it: blocking queries and their index. */
final class ConsulStandIn implements AutoCloseable {
    private final StandIn server;
    private final StandIn[] tools;
    private final List<String> statuses = new ArrayList<>();
    private long index = 100;
    private int healthQueries;

    ConsulStandIn(StandIn... tools) throws IOException {
        this.tools = tools;
        for (int i = 0; i < tools.length; i++) statuses.add("passing");
        server = new StandIn(x -> {
            boolean isHealthQuery = x.target.startsWith("/v1/health/service/records");
            long knownIndex = x.target.contains("index=") ? Long.parseLong(x.target.split("index=")[1].split("&")[0])
                    : 0;
            String body = isHealthQuery ? healthAfter(knownIndex) : servicesAfter(knownIndex);
            x.reply(200, body, "X-Consul-Index: " + currentIndex());
        });
    }

    private synchronized long currentIndex() {
        return index;
    }

    private synchronized String servicesAfter(long knownIndex) throws InterruptedException {
        while (knownIndex == index) wait();
        return "{\"consul\":[],\"records\":[\"v1\"]}";
    }

    private synchronized String healthAfter(long knownIndex) throws InterruptedException {
        healthQueries++;
        while (knownIndex == index) wait();
        List<String> entries = new ArrayList<>();
        for (int i = 0; i < tools.length; i++) {
            entries.add("{\"Node\":{\"Node\":\"n" + i + "\",\"Address\":\"127.0.0.1\"},\"Service\":{\"ID\":\"records-"
                    + i
                    + "\",\"Service\":\"records\",\"Address\":\"\",\"Port\":" + tools[i].socketAddress().getPort()
                    + "},\"Checks\":[{\"Status\":\"passing\"},{\"Status\":\"" + statuses.get(i) + "\"}]}");
        }
        return "[" + String.join(",", entries) + "]";
    }

    synchronized void status(int tool, String status) {
        statuses.set(tool, status);
        index++;
        notifyAll();
    }

    /** Sets the index far back, as on a server that was restored. */
    synchronized void restart() {
        index = 3;
        notifyAll();
    }

    synchronized int healthQueries() {
        return healthQueries;
    }

    String address() {
        return server.address();
    }

    @Override
    public void close() throws IOException {
        server.close();
    }
}
