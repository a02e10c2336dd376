package io.pollenpath.transport;

import io.pollenpath.util.LogLine;
import java.lang.reflect.InvocationHandler;
import java.lang.reflect.Proxy;
import java.util.Objects;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Replaces the default action of SIGHUP, which terminates the process.
 *
 * <p>{@code sun.misc.Signal} is not part of the exported API of the platform, so it is used by
 * reflection. On platforms without it, the default action stays and a warning is logged.
 */
public final class HangupSignal {

    private static final Logger LOG = LoggerFactory.getLogger(HangupSignal.class);
    private static final String NAME = "HUP";

    private HangupSignal() {}

    /**
     * Installs the action to run on SIGHUP.
     *
     * @param action the action, called on a thread of the Java runtime, not null
     */
    public static void handle(Runnable action) {
        Objects.requireNonNull(action, "action");
        try {
            Class<?> signalType = Class.forName("sun.misc.Signal");
            Class<?> handlerType = Class.forName("sun.misc.SignalHandler");
            InvocationHandler invocation =
                    (proxy, method, arguments) -> {
                        if (method.getName().equals("handle")) {
                            action.run();
                        }
                        return null;
                    };
            Object handler =
                    Proxy.newProxyInstance(
                            handlerType.getClassLoader(), new Class<?>[] {handlerType}, invocation);
            Object signal = signalType.getConstructor(String.class).newInstance(NAME);
            signalType.getMethod("handle", signalType, handlerType).invoke(null, signal, handler);
        } catch (ReflectiveOperationException e) {
            LOG.warn("{}", LogLine.event("hangup_not_handled").with("cause", e));
        }
    }
}
