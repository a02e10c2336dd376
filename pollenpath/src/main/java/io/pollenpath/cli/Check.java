package io.pollenpath.cli;

import java.lang.annotation.ElementType;
import java.lang.annotation.Retention;
import java.lang.annotation.RetentionPolicy;
import java.lang.annotation.Target;

/** Restricts the values of a setting. A numeric setting without it accepts any number from 0. */
@Retention(RetentionPolicy.RUNTIME)
@Target(ElementType.FIELD)
@interface Check {

    /** Smallest accepted number. */
    long min() default 0;

    /** Largest accepted number. */
    long max() default Integer.MAX_VALUE;

    /** Format of a text. An empty text is accepted unless the parameter is required. */
    Form form() default Form.ANY;

    /** Whether the value is hidden wherever settings are printed. */
    boolean secret() default false;
}
