package org.kingcuproad.platform;

import io.netty.channel.EventLoopGroup;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.net.ConnectException;
import java.time.Duration;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionException;
import java.util.function.Function;
import java.util.regex.Pattern;
import org.asynchttpclient.AsyncHttpClient;
import org.asynchttpclient.DefaultAsyncHttpClient;
import org.asynchttpclient.DefaultAsyncHttpClientConfig;
import org.asynchttpclient.RequestBuilder;
import org.asynchttpclient.Response;
import org.kingcuproad.model.Stage;
import org.tinylog.Logger;

/** The platform's object API over HTTP. */
public final class HttpObjectStore implements ObjectStore {

    private static final Pattern KEY = Pattern.compile("[A-Za-z0-9._~/-]+");
    private static final int OK = 200;
    private static final int CREATED = 201;
    private static final int NOT_FOUND = 404;
    private static final int PRECONDITION_FAILED = 412;
    private static final int SERVER_ERROR = 500;
    private static final Duration UNLIMITED = Duration.ofMillis(-1);

    /** Maximum size of a response; listings name thousands of objects, and a store in trouble may send more. */
    private static final long MAX_RESPONSE_BYTES = 16 << 20;

    private final AsyncHttpClient client;
    private final ObjectStoreSettings settings;

    private HttpObjectStore(AsyncHttpClient client, ObjectStoreSettings settings) {
        this.client = client;
        this.settings = settings;
    }

    /**
     * Opens a client with an event loop of its own.
     *
     * @param settings where the platform is and how long to wait for it
     * @return the client
     */
    public static HttpObjectStore open(ObjectStoreSettings settings) {
        return new HttpObjectStore(
                new DefaultAsyncHttpClient(
                        clientSettings(settings).setIoThreadsCount(1).build()),
                settings);
    }

    /**
     * Opens a client on the event loops of the process.
     *
     * @param settings where the platform is and how long to wait for it
     * @param eventLoops event loops, which stay open when the client closes
     * @return the client
     */
    public static HttpObjectStore open(ObjectStoreSettings settings, EventLoopGroup eventLoops) {
        return new HttpObjectStore(
                new DefaultAsyncHttpClient(
                        clientSettings(settings).setEventLoopGroup(eventLoops).build()),
                settings);
    }

    @Override
    public CompletableFuture<ReadResult> get(String key) {
        return call(
                request("GET", objectPath(key)),
                response -> switch (response.getStatusCode()) {
                    case OK ->
                        new ReadResult.Found(
                                new StoredObject(key, version(response), response.getResponseBodyAsBytes()));
                    case NOT_FOUND -> new ReadResult.Absent();
                    default -> new ReadResult.Unavailable(refusal(response));
                },
                failure -> new ReadResult.Unavailable(describe(failure)));
    }

    @Override
    public CompletableFuture<WriteResult> create(String key, byte[] value) {
        return write(
                request("PUT", objectPath(key)).setHeader("If-None-Match", "*").setBody(checked(value)));
    }

    @Override
    public CompletableFuture<WriteResult> update(String key, byte[] value, long expectedVersion) {
        return write(request("PUT", objectPath(key))
                .setHeader("If-Match", entityTag(expectedVersion))
                .setBody(checked(value)));
    }

    @Override
    public CompletableFuture<WriteResult> delete(String key, long expectedVersion) {
        return write(request("DELETE", objectPath(key)).setHeader("If-Match", entityTag(expectedVersion)));
    }

    @Override
    public CompletableFuture<ListResult> list(String prefix) {
        return call(
                request("GET", "/objects").addQueryParam("prefix", prefix),
                response -> response.getStatusCode() == OK
                        ? parsed(response, PlatformMessages::objects)
                        : new ListResult.Unavailable(refusal(response)),
                failure -> new ListResult.Unavailable(describe(failure)));
    }

    @Override
    public Watch watch(String prefix, long sinceVersion, WatchListener listener) {
        WatchStream stream = new WatchStream(listener);
        RequestBuilder request = request("GET", "/watch")
                .addQueryParam("prefix", prefix)
                .addQueryParam("since", Long.toString(sinceVersion))
                .setRequestTimeout(UNLIMITED)
                .setReadTimeout(Duration.ofMillis(settings.watchSilenceMs()));
        client.executeRequest(request.build(), stream);
        return stream;
    }

    @Override
    public CompletableFuture<VmListResult> vms(Stage stage) {
        return call(
                request("GET", "/vms").addQueryParam("stage", stage.label()),
                response -> response.getStatusCode() == OK
                        ? parsed(response, PlatformMessages::vms)
                        : new VmListResult.Unavailable(refusal(response)),
                failure -> new VmListResult.Unavailable(describe(failure)));
    }

    @Override
    public void close() {
        try {
            client.close();
        } catch (IOException failure) {
            Logger.warn(failure, "closing the platform client failed");
        }
    }

    private CompletableFuture<WriteResult> write(RequestBuilder request) {
        return call(
                request,
                response -> switch (response.getStatusCode()) {
                    case OK, CREATED -> new WriteResult.Written(version(response));
                    case PRECONDITION_FAILED ->
                        new WriteResult.VersionConflict(
                                parsed(response, body -> PlatformMessages.number(body, "currentVersion")));
                    // A gateway may answer with a server error after the store applied the write.
                    default -> new WriteResult.Unavailable(refusal(response), response.getStatusCode() >= SERVER_ERROR);
                },
                failure -> new WriteResult.Unavailable(describe(failure), !neverSent(failure)));
    }

    private <T> CompletableFuture<T> call(
            RequestBuilder request, Function<Response, T> onResponse, Function<Throwable, T> onFailure) {
        return client.executeRequest(request.build(), new BoundedResponseHandler(MAX_RESPONSE_BYTES))
                .toCompletableFuture()
                .thenApply(onResponse)
                .exceptionally(failure -> onFailure.apply(cause(failure)));
    }

    private RequestBuilder request(String method, String path) {
        return new RequestBuilder(method).setUrl(settings.platformUrl() + path);
    }

    private static DefaultAsyncHttpClientConfig.Builder clientSettings(ObjectStoreSettings settings) {
        return new DefaultAsyncHttpClientConfig.Builder()
                .setConnectTimeout(Duration.ofMillis(settings.connectTimeoutMs()))
                .setRequestTimeout(Duration.ofMillis(settings.requestTimeoutMs()))
                .setReadTimeout(Duration.ofMillis(settings.requestTimeoutMs()))
                // A repeated write whose first response was lost would look like a conflict.
                .setMaxRequestRetry(0)
                // Responses do not name their requests, so each connection carries one request.
                .setKeepAliveStrategy((address, request, sent, response) -> false)
                .setShutdownQuietPeriod(Duration.ZERO)
                .setThreadPoolName("platform-client");
    }

    private static String objectPath(String key) {
        if (!KEY.matcher(key).matches()) {
            throw new IllegalArgumentException("key with characters that need escaping: " + key);
        }
        return "/objects/" + key;
    }

    private static byte[] checked(byte[] value) {
        if (value.length > MAX_VALUE_BYTES) {
            throw new IllegalArgumentException(value.length + " bytes exceed the store's limit of " + MAX_VALUE_BYTES);
        }
        return value;
    }

    private static String entityTag(long version) {
        return '"' + Long.toString(version) + '"';
    }

    private static long version(Response response) {
        String tag = response.getHeader("ETag");
        try {
            return Long.parseLong(tag == null ? "" : tag.replace("\"", ""));
        } catch (NumberFormatException failure) {
            throw new UncheckedIOException(new IOException("malformed ETag " + tag, failure));
        }
    }

    private static <T> T parsed(Response response, BodyParser<T> parser) {
        try {
            return parser.parse(response.getResponseBodyAsBytes());
        } catch (IOException failure) {
            throw new UncheckedIOException(failure);
        }
    }

    private static String refusal(Response response) {
        return "the platform answered " + response.getStatusCode();
    }

    private static Throwable cause(Throwable failure) {
        return failure instanceof CompletionException && failure.getCause() != null ? failure.getCause() : failure;
    }

    private static boolean neverSent(Throwable failure) {
        return failure instanceof ConnectException;
    }

    private static String describe(Throwable failure) {
        return failure.getClass().getSimpleName() + ": " + failure.getMessage();
    }

    /** Reads a message from the body of a response. */
    private interface BodyParser<T> {

        T parse(byte[] body) throws IOException;
    }
}
