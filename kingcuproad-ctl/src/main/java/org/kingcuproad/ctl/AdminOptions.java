package org.kingcuproad.ctl;

import com.beust.jcommander.Parameter;
import java.util.List;
import java.util.Optional;
import org.kingcuproad.model.ErrorKind;
import org.kingcuproad.model.KingcuproadException;

/** Options of all commands that talk to the administration API of an entry. */
final class AdminOptions {

    static final String CREDENTIAL_VARIABLE = "KINGCUPROAD_ADMIN_CREDENTIAL";

    @Parameter(
            names = "--entry",
            description = "Base URL of the administration API of an entry; several are tried in turn",
            required = true)
    private List<String> entries = List.of();

    @Parameter(names = "--credential", description = "Operator's credential; default: " + CREDENTIAL_VARIABLE)
    private String credential = "";

    @Parameter(names = "--timeout-seconds", description = "Longest time to settle a call, in seconds")
    private int timeoutSeconds = 30;

    @Parameter(names = "--json", description = "Write the result as JSON")
    private boolean json;

    boolean json() {
        return json;
    }

    AdminClient connect() throws KingcuproadException {
        String chosen = credential.isEmpty()
                ? Optional.ofNullable(System.getenv(CREDENTIAL_VARIABLE)).orElse("")
                : credential;
        if (chosen.isEmpty()) {
            String detail = "give the operator's credential in " + CREDENTIAL_VARIABLE + " or with --credential";
            throw new KingcuproadException(ErrorKind.UNAUTHENTICATED, detail);
        }
        return new AdminClient(entries, chosen, timeoutSeconds);
    }
}
