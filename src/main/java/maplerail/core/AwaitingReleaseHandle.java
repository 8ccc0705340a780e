package maplerail.core;

/** The handle of an attempt that waits for a release and has not been handed to the transport. */
final class AwaitingReleaseHandle implements EngineTransport.AttemptHandle {
    @Override
    public String trace() {
        return "not sent, waiting for a release";
    }

    @Override
    public boolean unsent() {
        return true;
    }

    @Override
    public void abort() {}

    @Override
    public void pause() {}

    @Override
    public void resume() {}
}
