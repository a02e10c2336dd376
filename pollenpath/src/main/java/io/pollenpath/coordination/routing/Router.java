package io.pollenpath.coordination.routing;

/** Chooses the backend server for one attempt of a request. */
public interface Router {

    /** The result if no candidate is usable. */
    int NONE = -1;

    /**
     * Chooses one of the candidates.
     *
     * @param request the properties of the request, not null
     * @param candidates the servers, not null
     * @param nowNanos the current time of this process, in nanoseconds
     * @return the index of the chosen candidate, or {@link #NONE}
     */
    int choose(RouteRequest request, Candidates candidates, long nowNanos);
}
