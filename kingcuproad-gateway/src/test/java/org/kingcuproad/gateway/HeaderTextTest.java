package org.kingcuproad.gateway;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.IOException;
import java.util.List;
import java.util.stream.Stream;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Guards against names that become the same name, or another one, in the headers that upstreams receive. */
class HeaderTextTest {

    private final GatewayFixture fixture;

    HeaderTextTest() throws IOException {
        fixture = new GatewayFixture();
    }

    @AfterEach
    void close() throws Exception {
        fixture.close();
    }

    /** Guards against workspaces that an upstream can't tell apart, so that each reads the other's orders. */
    @Test
    void namesEachWorkspaceToTheUpstream() throws Exception {
        List<String> names =
                List.of("sklep-ja\u015b", "sklep-ja\u0144", "caf\u00e9", "caf\u00c3\u00a9", "\ud83d\udce6");
        names.forEach(name -> fixture.addWorkspace("key-of-" + names.indexOf(name), name, 0));
        FakeUpstream upstream = fixture.upstream(request -> GatewayFixture.ok(request, "done"));
        fixture.start();

        for (int number = 0; number < names.size(); number++) {
            assertThat(fixture.get("/IDEMPOTENT/a", "key-of-" + number, "r" + number)
                            .status())
                    .isEqualTo(200);
        }

        assertThat(upstream.requests())
                .extracting(request -> FakeUpstream.header(request, "X-Workspace"))
                .containsExactlyElementsOf(names);
    }

    /** Guards against a request that is passed on for another workspace or never answered. */
    @ParameterizedTest
    @ValueSource(strings = {"a\r\nX-Key: forged", "a\nb", " a", "a\t", "a\u0000", "\ud83d"})
    void refusesWorkspacesThatNoHeaderCanName(String name) throws Exception {
        fixture.addWorkspace("k2", name, 0);
        FakeUpstream upstream = fixture.upstream(request -> GatewayFixture.ok(request, "done"));
        fixture.start();

        assertThat(fixture.get("/IDEMPOTENT/a", "k2", "r1").status()).isEqualTo(403);
        assertThat(fixture.get("/IDEMPOTENT/a", "k1", "r2").status()).isEqualTo(200);
        assertThat(upstream.requests()).hasSize(1);
    }

    /** Guards against keys that are refused, or taken for another key, because of letters beyond ASCII. */
    @Test
    void tellsKeysApartByTheirBytes() throws Exception {
        fixture.addWorkspace("klucz-\u015b", "first", 0);
        fixture.addWorkspace("klucz-\u00c5\u009b", "second", 0);
        FakeUpstream upstream = fixture.upstream(request -> GatewayFixture.ok(request, "done"));
        fixture.start();

        assertThat(fixture.get("/IDEMPOTENT/a", "klucz-\u015b", "r1").status()).isEqualTo(200);
        assertThat(fixture.get("/IDEMPOTENT/a", "klucz-\u00c5\u009b", "r2").status())
                .isEqualTo(200);
        assertThat(fixture.get("/IDEMPOTENT/a", "klucz-?", "r3").status()).isEqualTo(401);
        assertThat(upstream.requests())
                .extracting(request -> FakeUpstream.header(request, "X-Workspace"))
                .containsExactly("first", "second");
    }

    /** Guards against an upstream that rejects all requests because its id reaches it as another one. */
    @Test
    void namesTheUpstreamByItsId() throws Exception {
        FakeUpstream upstream = fixture.upstream(request -> GatewayFixture.ok(request, "done"));
        fixture.start();
        fixture.replaceEntry("u0", "serwer-\u0142", upstream.port());
        Thread.sleep(1_000);

        assertThat(fixture.get("/IDEMPOTENT/a", "k1", "r1").status()).isEqualTo(200);
        assertThat(FakeUpstream.header(upstream.requests().getFirst(), "X-Expect"))
                .isEqualTo("serwer-\u0142");
    }

    @Test
    void decodesWhatItEncoded() {
        Stream.of("office", "sklep-ja\u015b", "caf\u00e9", "\ud83d\udce6", "a\tb")
                .forEach(text -> assertThat(HeaderText.encode(text).flatMap(HeaderText::decode))
                        .contains(text));
        assertThat(HeaderText.decode("\u00e9")).isEmpty();
    }
}
