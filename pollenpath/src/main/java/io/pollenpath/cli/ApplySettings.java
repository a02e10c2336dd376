package io.pollenpath.cli;

import com.beust.jcommander.Parameter;

/** Settings of {@code apply} and {@code diff}. */
final class ApplySettings extends OperatorSettings {

    @Check(form = Form.READABLE)
    @Parameter(
            names = {"-f", "--file"},
            description = "YAML file, or directory of .yaml files, with declarations",
            required = true)
    String file = "";

    @Parameter(names = "--dry-run", description = "Show the changes without writing them")
    boolean dryRun;

    @Parameter(
            names = "--overwrite",
            description = "Replace fields that another operator changed, instead of failing")
    boolean overwrite;

    @Check(form = Form.NAME)
    @Parameter(
            names = "--operator",
            description = "Name of the operator; distinguishes changes by others")
    String operator = userName();
}
