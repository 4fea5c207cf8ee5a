import { formatEvent, mergeTimelines } from '../timeline/mod.js';
import { EXIT_OK, type CommandCall } from './Command.js';
import { ProcessCommand } from './ProcessCommand.js';

/** Shows the merged time line of all processes. */
export class TimelineCommand extends ProcessCommand {
  override readonly usage = 'timeline';

  override readonly summary = 'Show the merged time line of the processes of all open sessions';

  override readonly examples = ['timeline', 'timeline --process 10.0.0.5:7201 --json'];

  override async run(call: CommandCall): Promise<number> {
    const merged = mergeTimelines(await ProcessCommand.collectTimelines(call));
    call.output.print(merged, () => merged.map(formatEvent).join('\n'));
    return EXIT_OK;
  }
}
