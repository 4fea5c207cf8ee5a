import { formatEvent, mergeTimelines } from '../timeline/mod.js';
import { EXIT_OK, type CommandContext } from './Command.js';
import { ProcessCommand } from './ProcessCommand.js';

/** Shows the merged timeline of all processes. */
export class TimelineCommand extends ProcessCommand {
  override readonly usage = 'timeline';

  override readonly summary = 'Show the merged timeline of all processes with an open session';

  override readonly examples = ['timeline', 'timeline --process 10.0.0.5:7201 --json'];

  override async run(context: CommandContext): Promise<number> {
    const events = mergeTimelines(await ProcessCommand.collectTimelines(context));
    context.output.print(events, () => events.map(formatEvent).join('\n'));
    return EXIT_OK;
  }
}
