import assert from 'node:assert/strict';
import { describe, it } from 'node:test';
import type { MachineResponse } from '../port/mod.js';
import type { MachineSubject, ReportResult, Shard } from '../schedule/mod.js';
import { waitFor } from '../testing/mod.js';
import { CommandExecutor } from './_CommandExecutor.js';
import type { NodeContext } from './NodeContext.js';

describe('CommandExecutor', () => {
  // Guards against orders of an owner that was suspended while they waited for a connection: where
  // the platform checks no tokens, they would be carried out after those of its successor.
  it('checks each machine order when it is sent, not when it is queued', async () => {
    const answers: ((answer: MachineResponse) => void)[] = [];
    const sent: string[] = [];
    const outcomes: string[] = [];
    const shard = {
      reportMachineResponse: ({ machine }: MachineSubject, { type }: MachineResponse) => {
        outcomes.push(`${machine} ${type}`);
        return 'ok';
      },
    } as unknown as Shard;
    const machines = {
      moveMachine: ({ machine }: { machine: string }) => {
        sent.push(machine);
        return new Promise<MachineResponse>((resolve) => {
          answers.push(resolve);
        });
      },
    };
    const context = { settings: { name: 'node' }, machines, log: { record: () => undefined } };
    let canOrder = true;
    const executor = new CommandExecutor(context as unknown as NodeContext, {
      token: 1,
      findLink: () => undefined,
      canOrderMachine: () => canOrder,
      isAdviceWanted: () => true,
      applyOutcome: (apply: (one: Shard) => ReportResult) => apply(shard),
    });
    for (let index = 0; index < 6; index += 1) {
      executor.run({ type: 'move', machine: `m-${index}`, pool: 'studio', host: undefined });
    }
    assert.deepEqual(sent, ['m-0', 'm-1', 'm-2', 'm-3']);
    answers.shift()?.({ type: 'done' });
    await waitFor('the fifth order', () => sent.includes('m-4'));
    canOrder = false;
    answers.shift()?.({ type: 'done' });
    await waitFor('the withdrawn order', () => outcomes.includes('m-5 refused'));
    assert.ok(!sent.includes('m-5'));
    executor.close();
  });
});
