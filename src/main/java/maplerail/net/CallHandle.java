package maplerail.net;

import maplerail.core.EngineTransport;

/** Adapts a {@link Call} to the interface of the core. */
record CallHandle(Call call) implements EngineTransport.AttemptHandle {
    @Override
    public String trace() {
        return call.trace();
    }

    @Override
    public boolean responseStarted() {
        return call.responseStarted();
    }

    @Override
    public boolean unsent() {
        return call.unsent();
    }

    @Override
    public double writtenMs() {
        return call.writtenMs();
    }

    @Override
    public void abort() {
        call.abort();
    }

    @Override
    public void pause() {
        call.pause();
    }

    @Override
    public void resume() {
        call.resume();
    }
}
