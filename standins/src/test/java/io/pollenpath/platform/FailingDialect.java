package io.pollenpath.platform;

import io.netty.handler.codec.http.HttpHeaders;
import io.pollenpath.transport.serving.WireDialect;
import java.lang.reflect.InvocationTargetException;
import java.lang.reflect.Method;
import java.lang.reflect.Proxy;

/** The dialect of the platform, whose methods fail on heads that ask for it. */
final class FailingDialect {

    /** The field of a head that names the method that fails on it. */
    static final String FIELD = "fail-at";

    private FailingDialect() {}

    static WireDialect create() {
        WireDialect sound = new HeaderDialect();
        return (WireDialect)
                Proxy.newProxyInstance(
                        WireDialect.class.getClassLoader(),
                        new Class<?>[] {WireDialect.class},
                        (proxy, method, arguments) -> call(sound, method, arguments));
    }

    private static Object call(WireDialect sound, Method method, Object[] arguments)
            throws Throwable {
        for (Object argument : arguments) {
            if (argument instanceof HttpHeaders headers
                    && method.getName().equals(headers.get(FIELD))) {
                throw new IllegalStateException("asked to fail at " + method.getName());
            }
        }
        try {
            return method.invoke(sound, arguments);
        } catch (InvocationTargetException e) {
            throw e.getCause();
        }
    }
}
