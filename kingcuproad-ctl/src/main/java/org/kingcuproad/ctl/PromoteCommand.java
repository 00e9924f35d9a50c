package org.kingcuproad.ctl;

import com.beust.jcommander.Parameter;
import com.beust.jcommander.Parameters;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.io.PrintStream;
import java.nio.charset.StandardCharsets;
import java.util.Map;
import java.util.UUID;
import org.kingcuproad.model.KingcuproadException;

/**
 * Puts a tried document into production.
 *
 * <p>Exit codes: 0 if it is in production, 4 if one of the stages has another revision than the named one, 5 if no
 * entry or store answers, 6 if the credential is refused, 1 otherwise.
 */
@Parameters(commandDescription = "Put a tried document into production")
public final class PromoteCommand extends AdminCommand {

    @Parameter(names = "--environment", description = "Name of the environment", required = true)
    private String environment = "";

    @Parameter(names = "--trial-revision", description = "Trial revision that was tried", required = true)
    private long trialRevision;

    @Parameter(
            names = "--production-revision",
            description = "Production revision that it replaces, or 0 if there is none",
            required = true)
    private long productionRevision;

    @Parameter(names = "--operation-id", description = "Operation id of an earlier call whose answer was lost")
    private String operationId = UUID.randomUUID().toString();

    /** Creates the command. */
    public PromoteCommand() {}

    @Override
    public String name() {
        return "promote";
    }

    @Override
    ExitCode call(AdminClient client, PrintStream out, PrintStream err) throws KingcuproadException {
        String body = new ObjectMapper()
                .createObjectNode()
                .put("trialRevision", trialRevision)
                .put("productionRevision", productionRevision)
                .put("operationId", operationId)
                .toString();
        String path = "/admin/v1/environments/" + environment + "/promote";
        Map<String, String> headers = Map.of("Content-Type", "application/json");
        AdminReply reply =
                client.call(new AdminCall("POST", path, Map.of(), headers, body.getBytes(StandardCharsets.UTF_8)));
        long revision = AdminClient.parse(reply.body()).path("revision").asLong();
        out.println(json() ? reply.body() : "production stage of " + environment + " has revision " + revision);
        return ExitCode.SUCCESS;
    }
}
