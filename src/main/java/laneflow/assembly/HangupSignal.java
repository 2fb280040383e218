package laneflow.assembly;

import java.lang.reflect.Proxy;

/** The hang-up signal, which asks a service to read its configuration again. */
final class HangupSignal {
    private HangupSignal() {}

    /**
     * Runs this at each SIGHUP, on a thread of the signal's own. Java has no other interface to signals, and
     * the compiler warns of this one wherever it is named. False where the signal is ignored, as it is for
     * what nohup starts: no handler can change that.
     */
    static boolean handle(Runnable then) {
        try {
            Class<?> signal = Class.forName("sun.misc.Signal");
            Class<?> handler = Class.forName("sun.misc.SignalHandler");
            Object own = Proxy.newProxyInstance(
                    HangupSignal.class.getClassLoader(), new Class<?>[] {handler}, (proxy, method, args) -> {
                        then.run();
                        return null;
                    });
            Object hangup = signal.getConstructor(String.class).newInstance("HUP");
            Object before = signal.getMethod("handle", signal, handler).invoke(null, hangup, own);
            return before != handler.getField("SIG_IGN").get(null);
        } catch (ReflectiveOperationException e) {
            throw new IllegalStateException("SIGHUP can't be handled", e);
        }
    }
}
