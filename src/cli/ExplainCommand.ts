import type { HostDescription } from '../fleet/mod.js';
import { explainSubject, formatExplanation, type Subject } from '../timeline/mod.js';
import { EXIT_FAILURE, EXIT_OK, type CommandContext } from './Command.js';
import { describeHostLines } from './describeHostLines.js';
import { ProcessCommand } from './ProcessCommand.js';

/** Queries a host by name. Returns `null` if there is no such host or no controller answers. */
async function queryHost({ controllers, output }: CommandContext, name: string) {
  try {
    return await controllers.query((client) => client.host.query({ name }));
  } catch (error) {
    output.report((error as Error).message);
    return null;
  }
}

function listSubjects(name: string, host: HostDescription | null): Subject[] {
  // A revision is the offset of the record that created it plus 1.
  const records = host && {
    offsets: [host.revisions.host, host.revisions.pool ?? 0].map((revision) => revision - 1),
    times: [host.state.phaseSince, host.state.statusSince],
  };
  return [
    { kind: 'host', name, ...(records && { records }) },
    { kind: 'request', name },
    { kind: 'change', name },
  ];
}

/** Explains what happened to a host, a request or a change, and why. */
export class ExplainCommand extends ProcessCommand {
  override readonly usage = 'explain <subject>';

  override readonly summary =
    'Explain what happened to a host (by name), a request or a change (by id), with causes';

  override readonly examples = [
    'explain rennes-1-r1-h1',
    'explain 0190a5f0-3c7e-7b7a-8c1e-0242ac120002 --json',
  ];

  override readonly maxArguments = 1;

  override async run(context: CommandContext): Promise<number> {
    const name = context.args[0] as string;
    const [host, timelines] = await Promise.all([
      queryHost(context, name),
      ProcessCommand.collectTimelines(context),
    ]);
    const found = listSubjects(name, host)
      .map((subject) => ({ subject, steps: explainSubject(timelines, subject) }))
      .find(({ steps }) => steps.length > 0);
    const missing = `no event about "${name}" in ${timelines.length} timeline(s)`;
    if (found === undefined) context.output.report(missing);
    if (found === undefined && host === null) return EXIT_FAILURE;
    context.output.print({ ...found, ...(host && { host }) }, () =>
      [
        ...(host ? describeHostLines(host) : []),
        ...(found ? [formatExplanation(found.steps)] : []),
      ].join('\n'),
    );
    return EXIT_OK;
  }
}
