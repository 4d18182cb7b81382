/**
 * @fileoverview `evacuation start` and `evacuation finish`: order that no requests
 * go to the backend servers of a failure domain, or take that back.
 */
import {
  type EvacuationEffect,
  type EvacuationOrderKind,
  type EvacuationOrderResult,
} from '../client/fleetClient.js';
import {type Context} from '../context.js';
import {OutcomeUnknownError} from '../errors.js';
import {exitCodes} from '../exitCodes.js';
import {type CommandModule} from './commandModule.js';

const descriptions: Readonly<Record<EvacuationOrderKind, string>> = {
  start: 'send no more requests to the backend servers of a failure domain',
  finish: 'send requests to the backend servers of a failure domain again',
};

const effects: Readonly<
  Record<EvacuationOrderKind, Record<EvacuationEffect, string>>
> = {
  start: {
    changed:
      'is evacuated; routers in touch stop sending to it, open requests finish',
    unchanged: 'was evacuated already, and stays so',
  },
  finish: {
    changed: 'is not evacuated any more; routers in touch send to it again',
    unchanged: 'was not evacuated, and stays so',
  },
};

/** `evacuation start`. */
export const evacuationStart = commandOf('start');

/** `evacuation finish`. */
export const evacuationFinish = commandOf('finish');

function commandOf(kind: EvacuationOrderKind): CommandModule {
  return (parent, bind) => {
    parent
      .command(kind)
      .description(descriptions[kind])
      .argument('<domain>', 'name of the failure domain')
      .action(
        bind((context: Context, domain: string) =>
          order(context, kind, domain),
        ),
      );
  };
}

async function order(
  context: Context,
  kind: EvacuationOrderKind,
  domain: string,
): Promise<void> {
  let result: EvacuationOrderResult;
  try {
    result = await context.fleetClient.orderEvacuation(kind, domain);
  } catch (error) {
    if (!(error instanceof OutcomeUnknownError)) throw error;
    throw new OutcomeUnknownError(
      `the outcome is unknown: the order to ${kind} the evacuation of "${domain}" ` +
        'may have taken effect, or still may. Give it again until it is ' +
        'acknowledged, as a repeat changes nothing more; "evacuation list" ' +
        'shows what each process knows',
      {cause: error},
    );
  }
  if (result.kind === 'superseded') context.exitCode = exitCodes.findings;
  context.print({order: kind, failureDomain: domain, ...result}, () =>
    describe(kind, domain, result),
  );
}

function describe(
  kind: EvacuationOrderKind,
  domain: string,
  result: EvacuationOrderResult,
): string {
  if (result.kind === 'superseded') {
    return (
      `superseded: the order had no effect, as another one came first ` +
      `(revision ${result.revision}); see "evacuation list" before it is given again`
    );
  }
  const {kind: effect, revision} = result.outcome;
  return `acknowledged: ${domain} ${effects[kind][effect]} (revision ${revision})`;
}
