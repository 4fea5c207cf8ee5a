import { FindingsError, formatFinding } from '../finding/mod.js';
import { compareDocument, type VerdictResponse } from '../fleet/mod.js';
import type { Operation } from '../record/mod.js';
import { loadDocuments, mergeDocuments, type FleetDocument } from '../settings/mod.js';
import {
  Command,
  EXIT_FAILURE,
  EXIT_OK,
  type CommandContext,
  type CommandOption,
} from './Command.js';
import type { ControllerGroup } from './ControllerGroup.js';
import { describeChangeFailure, type ChangeFailure } from './describeChangeFailure.js';
import { describeShortfalls } from './describeShortfalls.js';
import { UsageError } from './UsageError.js';

function loadFleet({ args, output }: CommandContext): FleetDocument {
  const { documents, findings } = loadDocuments(args);
  if (findings.some((finding) => finding.severity === 'error')) {
    throw new FindingsError(args.join(', '), findings);
  }
  findings.forEach((finding) => output.report(formatFinding(finding)));
  const settings = documents.find((one) => one.kind === 'settings');
  if (settings) throw new UsageError(`"${settings.source.file}" is a settings file`);
  return mergeDocuments(documents.flatMap((one) => (one.kind === 'fleet' ? [one.value] : [])));
}

function listOperationRows(operations: readonly Operation[]) {
  return operations.map((operation) => ({
    action: operation.action,
    kind: operation.kind,
    name: operation.action === 'put' ? operation.object.name : operation.name,
  }));
}

/** Lists the shortfalls after an accepted change. A failed read does not fail the command. */
async function listShortfalls(controllers: ControllerGroup): Promise<string[]> {
  try {
    return describeShortfalls(await controllers.query((client) => client.fleet.query()));
  } catch (error) {
    return [`the shortfall could not be read: ${(error as Error).message}`];
  }
}

function formatFailure({ outcome, reason, next }: ChangeFailure): string {
  const head = outcome === 'unknown' ? 'outcome unknown' : 'not applied';
  return [`${head}: ${reason}`, ...next.split(/(?<=\.) /)].join('\n');
}

/** Applies inventory and rules files to the fleet. */
export class ApplyCommand extends Command {
  override readonly usage = 'apply <file>';

  override readonly summary =
    'Apply inventory and rules files, merged into one. Lists that no file contains are not changed';

  override readonly examples = [
    'apply inventory.jsonc rules.jsonc --dry-run',
    'apply inventory.jsonc rules.jsonc --revision 42',
  ];

  override readonly options: readonly CommandOption[] = [
    { name: 'dry-run', summary: 'Show the operations without applying them', isFlag: true },
    { name: 'revision', summary: 'Base revision of the change (default: the current revision)' },
    { name: 'operator', summary: 'Operator name shown in the timeline (default: $USER)' },
  ];

  override readonly maxArguments = Infinity;

  override async run(context: CommandContext): Promise<number> {
    const { controllers, options, output } = context;
    const document = loadFleet(context);
    const current = await controllers.query((client) => client.snapshot.query());
    const baseRevision = Command.readRevision(context) ?? current.revision;
    const operations = compareDocument(document, current);
    if (options['dry-run'] === true || operations.length === 0) {
      const rows = listOperationRows(operations);
      output.printRows({ changed: 0, revision: current.revision, operations }, [
        ...rows,
        ...(rows.length === 0 ? [{ unchanged: `revision ${current.revision}` }] : []),
      ]);
      return EXIT_OK;
    }
    const operator = String(options.operator ?? process.env.USER ?? 'operator');
    const request = { baseRevision, operations, operator };
    let answer: VerdictResponse;
    try {
      answer = await controllers.queryCurrent((client) => client.change.mutate(request));
    } catch (error) {
      const failure = describeChangeFailure(error, current.revision);
      output.print({ changed: 0, baseRevision, ...failure }, () => formatFailure(failure));
      return EXIT_FAILURE;
    }
    return ApplyCommand.#printVerdict(context, answer, request);
  }

  static async #printVerdict(
    { controllers, output }: CommandContext,
    answer: VerdictResponse,
    { baseRevision, operations }: { baseRevision: number; operations: readonly Operation[] },
  ): Promise<number> {
    const { verdict, revision } = answer;
    if (verdict.outcome !== 'accepted') {
      const reasons = verdict.outcome === 'rejected' ? verdict.reasons : [];
      const isConflict = reasons.some((reason) => reason.includes(' changed at revision '));
      const head = `rejected: your revision is ${baseRevision}, the fleet's is ${revision}`;
      const next = isConflict
        ? 'Nothing was changed. Read the fleet, merge the other change into your files and apply again.'
        : 'Nothing was changed. Correct the files, or first make the changes that the reasons require.';
      output.print({ changed: 0, baseRevision, ...answer, next }, () =>
        [head, ...reasons, next].join('\n'),
      );
      return EXIT_FAILURE;
    }
    const shortfalls = await listShortfalls(controllers);
    const changed = operations.length;
    const head = `accepted: ${changed} operation(s), revision ${baseRevision} -> ${revision}`;
    output.print({ changed, baseRevision, ...answer, shortfalls }, () =>
      [head, ...shortfalls].join('\n'),
    );
    return EXIT_OK;
  }
}
