package io.pollenpath.transport.entry;

import io.pollenpath.protocol.Problem;

/** Thrown when a request is refused; carries the problem that is sent to the caller. */
final class ProblemException extends RuntimeException {

    private static final long serialVersionUID = 1L;

    private final transient Problem problem;

    ProblemException(Problem problem) {
        super(problem.detail(), null, false, false);
        this.problem = problem;
    }

    Problem problem() {
        return problem;
    }
}
