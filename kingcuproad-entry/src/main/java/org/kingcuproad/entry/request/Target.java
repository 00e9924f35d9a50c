package org.kingcuproad.entry.request;

import java.util.List;
import org.kingcuproad.model.Model;
import org.kingcuproad.model.Route;

/** What a request asks for, which decides the upstreams that can run it. */
public sealed interface Target {

    /**
     * Tells whether the request may run more than once.
     *
     * @return {@code true} if it is idempotent
     */
    boolean idempotent();

    /**
     * Returns the time allowed for the whole response.
     *
     * @return the time, in milliseconds
     */
    int deadlineMs();

    /**
     * A request to a model.
     *
     * @param model the model
     * @param groups names of the groups that run the model
     * @param prompt bytes that the prefix cache is keyed by
     */
    record ModelTarget(Model model, List<String> groups, byte[] prompt) implements Target {

        @Override
        public boolean idempotent() {
            return true;
        }

        @Override
        public int deadlineMs() {
            return model.deadlineMs();
        }
    }

    /**
     * A request to a plain service.
     *
     * @param service name of the service
     * @param route the route that matches method and path
     */
    record ServiceTarget(String service, Route route) implements Target {

        @Override
        public boolean idempotent() {
            return route.idempotent();
        }

        @Override
        public int deadlineMs() {
            return route.deadlineMs();
        }
    }
}
