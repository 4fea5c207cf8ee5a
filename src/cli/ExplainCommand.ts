import { explainSubject, formatExplanation, type Subject } from '../timeline/mod.js';
import { EXIT_FAILURE, EXIT_OK, type CommandCall } from './Command.js';
import { ProcessCommand } from './ProcessCommand.js';

const KINDS: readonly Subject['kind'][] = ['host', 'request', 'change'];

/** Explains what happened to a host, a request or a change, and why. */
export class ExplainCommand extends ProcessCommand {
  override readonly usage = 'explain <subject>';

  override readonly summary =
    'Explain a host (by name), a request or a change (by id) as a chain of causes';

  override readonly examples = [
    'explain rennes-1-r1-h1',
    'explain 0190a5f0-3c7e-7b7a-8c1e-0242ac120002 --json',
  ];

  override readonly maxArguments = 1;

  override async run(call: CommandCall): Promise<number> {
    const name = call.args[0] as string;
    const timelines = await ProcessCommand.collectTimelines(call);
    const subjects = KINDS.map((kind): Subject => ({ kind, name }));
    const found = subjects
      .map((subject) => ({ subject, steps: explainSubject(timelines, subject) }))
      .find(({ steps }) => steps.length > 0);
    if (found === undefined) {
      call.output.report(`no event about "${name}" in ${timelines.length} time line(s)`);
      return EXIT_FAILURE;
    }
    call.output.print(found, () => formatExplanation(found.steps));
    return EXIT_OK;
  }
}
