package laneflow.assembly;

import java.lang.reflect.Proxy;

/** The handler of SIGHUP, which asks a service to reload its configuration. */
final class HangupSignal {
    private HangupSignal() {}

    /**
     * Runs the action at each SIGHUP, on a thread created for the signal. {@code sun.misc.Signal}, Java's only
     * interface to signals, is used by reflection since the compiler warns wherever it is named.
     *
     * @return false if the process was started with SIGHUP ignored, as by nohup: no handler can change that
     */
    static boolean handle(Runnable action) {
        try {
            Class<?> signalClass = Class.forName("sun.misc.Signal");
            Class<?> handlerClass = Class.forName("sun.misc.SignalHandler");
            Object handlerProxy = Proxy.newProxyInstance(
                    HangupSignal.class.getClassLoader(), new Class<?>[] {handlerClass}, (proxy, method, args) -> {
                        action.run();
                        return null;
                    });
            Object hangupSignal = signalClass.getConstructor(String.class).newInstance("HUP");
            Object previousHandler =
                    signalClass.getMethod("handle", signalClass, handlerClass).invoke(null, hangupSignal, handlerProxy);
            return previousHandler != handlerClass.getField("SIG_IGN").get(null);
        } catch (ReflectiveOperationException e) {
            throw new IllegalStateException("SIGHUP can't be handled", e);
        }
    }
}
