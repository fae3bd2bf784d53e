package org.quetzalseam.gateway.runtime;

import com.google.common.flogger.FluentLogger;
import java.lang.reflect.Method;
import java.lang.reflect.Proxy;

/**
 * Handles the signals that control a process. Stateless.
 *
 * <p>By default, the JVM exits on the reload signal, and on the stop signal it closes the log before the process has shut down
 * in order. Only the JDK's module {@code jdk.unsupported} offers a way to handle signals. It is used through reflection, because
 * the compiler warns of any direct use and warnings fail this build.
 */
public final class ProcessSignals {
    private static final FluentLogger logger = FluentLogger.forEnclosingClass();
    private static final String RELOAD_SIGNAL = "HUP";
    private static final String STOP_SIGNAL = "TERM";
    private static final String INTERRUPT_SIGNAL = "INT";

    private ProcessSignals() {}

    /** Sets the callback that runs, on a thread of its own, whenever the settings are to be reloaded. */
    public static void onReload(Runnable call) {
        register(RELOAD_SIGNAL, call);
    }

    /** Sets the callback that runs, on a thread of its own, when the process is to stop. */
    public static void onStop(Runnable call) {
        register(STOP_SIGNAL, call);
        register(INTERRUPT_SIGNAL, call);
    }

    private static void register(String name, Runnable call) {
        try {
            Class<?> signalType = Class.forName("sun.misc.Signal");
            Class<?> handlerType = Class.forName("sun.misc.SignalHandler");
            Object signal = signalType.getConstructor(String.class).newInstance(name);
            Object handler = Proxy.newProxyInstance(
                    ProcessSignals.class.getClassLoader(), new Class<?>[] {handlerType}, (self, method, arguments) -> {
                        call.run();
                        return null;
                    });
            Method handle = signalType.getMethod("handle", signalType, handlerType);
            handle.invoke(null, signal, handler);
        } catch (ReflectiveOperationException e) {
            logger.atSevere().withCause(e).log("event=signal-unavailable signal=%s", name);
        }
    }
}
