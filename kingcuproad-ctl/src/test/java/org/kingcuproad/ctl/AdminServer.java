package org.kingcuproad.ctl;

import io.netty.channel.nio.NioEventLoopGroup;
import java.nio.charset.StandardCharsets;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import org.kingcuproad.model.ErrorKind;
import org.kingcuproad.model.KingcuproadException;
import org.kingcuproad.platform.HttpObjectStore;
import org.kingcuproad.platform.ObjectStore;
import org.kingcuproad.platform.ObjectStoreSettings;
import org.kingcuproad.platform.environment.AdminAnswer;
import org.kingcuproad.platform.environment.AdminRoutes;
import org.kingcuproad.platform.environment.EnvironmentAdmin;
import org.kingcuproad.runtime.http.HttpExchange;
import org.kingcuproad.runtime.http.HttpServer;
import org.kingcuproad.runtime.http.HttpServerSettings;
import org.kingcuproad.runtime.http.Problems;

/** The administration API of an entry without the entry; it can lose answers after their calls took effect. */
final class AdminServer implements AutoCloseable {

    static final String CREDENTIAL = "operator";

    private final NioEventLoopGroup eventLoops = new NioEventLoopGroup(1);
    private final AtomicInteger answersToLose = new AtomicInteger();
    private final ObjectStore store;
    private final AdminRoutes routes;
    private final HttpServer server;

    AdminServer(String platformUrl) throws KingcuproadException {
        store = HttpObjectStore.open(ObjectStoreSettings.of(platformUrl).withRequestTimeoutMs(500));
        routes = new AdminRoutes(new EnvironmentAdmin(store));
        server = HttpServer.start(eventLoops, HttpServerSettings.of("127.0.0.1", 0), this::handle);
    }

    String url() {
        return "http://127.0.0.1:" + server.port();
    }

    void loseAnswers(int count) {
        answersToLose.set(count);
    }

    @Override
    public void close() {
        server.close();
        store.close();
        eventLoops.shutdownGracefully(0, 1, TimeUnit.SECONDS);
    }

    private void handle(HttpExchange exchange) {
        if (!exchange.header("Authorization").equals(Optional.of("Bearer " + CREDENTIAL))) {
            Problems.respond(exchange, ErrorKind.UNAUTHENTICATED, "unknown credential", "");
        } else if (exchange.path().startsWith(AdminRoutes.PREFIX)) {
            var unused = routes.answer(exchange.method(), exchange.path(), exchange::header, exchange.body())
                    .thenAccept(answer -> send(exchange, answer));
        } else if (exchange.path().equals("/admin/v1/explain")) {
            exchange.respondJson(
                    200, "{\"workspace\":\"" + exchange.queryValue("workspace").orElse("") + "\"}");
        } else {
            exchange.respondJson(200, "{\"revision\":7,\"ready\":true}");
        }
    }

    private void send(HttpExchange exchange, AdminAnswer answer) {
        if (answersToLose.getAndUpdate(count -> Math.max(0, count - 1)) > 0) {
            exchange.abort();
        } else {
            byte[] body = answer.body().getBytes(StandardCharsets.UTF_8);
            exchange.respond(answer.status(), answer.contentType(), answer.headers(), body);
        }
    }
}
