package org.kingcuproad.ctl;

import com.beust.jcommander.Parameter;
import com.beust.jcommander.Parameters;
import com.fasterxml.jackson.databind.JsonNode;
import java.io.PrintStream;
import java.util.LinkedHashMap;
import java.util.Map;
import org.kingcuproad.model.KingcuproadException;

/**
 * Shows how an entry would treat a request now, without sending it.
 *
 * <p>Exit codes: 0 if the entry answers, 5 if it does not, 6 if the credential is refused, 1 otherwise.
 */
@Parameters(commandDescription = "Show how an entry would treat a request")
public final class ExplainCommand extends AdminCommand {

    @Parameter(names = "--workspace", description = "Workspace of the request")
    private String workspace = "";

    @Parameter(names = "--model", description = "Model of a chat request")
    private String model = "";

    @Parameter(names = "--method", description = "HTTP method of a request to a plain service")
    private String method = "";

    @Parameter(names = "--path", description = "Path of a request to a plain service")
    private String path = "";

    @Parameter(names = "--idempotency-key", description = "Idempotency key of the request")
    private String idempotencyKey = "";

    /** Creates the command. */
    public ExplainCommand() {}

    @Override
    public String name() {
        return "explain";
    }

    @Override
    ExitCode call(AdminClient client, PrintStream out, PrintStream err) throws KingcuproadException {
        Map<String, String> query = new LinkedHashMap<>();
        putIfGiven(query, "workspace", workspace);
        putIfGiven(query, "model", model);
        putIfGiven(query, "method", method);
        putIfGiven(query, "path", path);
        putIfGiven(query, "idempotencyKey", idempotencyKey);
        AdminReply reply = client.call(AdminCall.get("/admin/v1/explain").withQuery(query));
        JsonNode explanation = AdminClient.parse(reply.body());
        if (json()) {
            out.println(explanation);
        } else {
            JsonLines.print(explanation, "", out);
        }
        return ExitCode.SUCCESS;
    }

    private static void putIfGiven(Map<String, String> query, String name, String value) {
        if (!value.isEmpty()) {
            query.put(name, value);
        }
    }
}
