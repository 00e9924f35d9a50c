package org.kingcuproad.entry.request;

import org.kingcuproad.model.Model;
import org.kingcuproad.model.Route;

/** The model or service that a request is for, which determines the upstreams that can run it. */
public sealed interface Target {

    /**
     * Returns the name of the model or service.
     *
     * @return the name, which selects the queue
     */
    String name();

    /**
     * Returns the expected cost, relative to other requests of the same model or service.
     *
     * @return the cost, greater than 0
     */
    double cost();

    /**
     * Returns the time after which the first byte of the response is no longer useful.
     *
     * @return the time, in milliseconds
     */
    int firstByteLimitMs();

    /**
     * Returns whether the request may run more than once.
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
     * @param prompt bytes of the prompt, which key the prefix cache
     * @param maxTokens maximum number of tokens in the response
     */
    record ModelTarget(Model model, byte[] prompt, int maxTokens) implements Target {

        @Override
        public String name() {
            return model.name();
        }

        @Override
        public double cost() {
            return Math.max(1, maxTokens);
        }

        @Override
        public int firstByteLimitMs() {
            return model.timeToFirstTokenMs();
        }

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
     * A request to a service, which serves no model.
     *
     * @param service name of the service
     * @param route the route that matches method and path
     */
    record ServiceTarget(String service, Route route) implements Target {

        @Override
        public String name() {
            return service;
        }

        @Override
        public double cost() {
            return 1;
        }

        @Override
        public int firstByteLimitMs() {
            return route.deadlineMs();
        }

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
