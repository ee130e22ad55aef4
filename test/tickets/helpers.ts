import { ticketFold } from '@ragwortrudder/tickets';
import type { TicketState } from '@ragwortrudder/tickets';

interface LogEntryInput {
  readonly id?: string;
  readonly body: unknown;
}

/** Folds each input as the only entry of its own record in one stream. */
export function foldEntries(
  inputs: readonly LogEntryInput[],
  from = ticketFold.initial,
): TicketState {
  const start = Math.floor(from.position / 1_024) + 1;
  return inputs.reduce((state, { id, body }, index) => {
    const offset = start + index;
    const entry = { position: offset * 1_024, offset, id: id ?? `e${offset}`, time: offset, body };
    return ticketFold.apply(state, entry);
  }, from);
}

export function serviceConfig(version: string, overrides: object = {}): object {
  return {
    kind: 'model',
    version,
    fencing: true,
    idempotent: true,
    classes: ['chat'],
    ...overrides,
  };
}

export function ticket(number: number, against: number, content: object): LogEntryInput {
  const body = { kind: 'ticket', ticket: { number, against, author: 'ops', ...content } };
  return { id: `ticket-${number}`, body };
}

export function quotesTicket(
  number: number,
  against: number,
  version: string,
  overrides = {},
): LogEntryInput {
  return ticket(number, against, { services: { quotes: serviceConfig(version, overrides) } });
}

export function moveDecision(
  number: number,
  outcome: 'done' | 'undone',
  by = 'node-1',
): LogEntryInput {
  const body = { kind: 'move-word', ticket: number, service: 'quotes', word: outcome, by };
  return { id: `word-${number}-${outcome}-${by}`, body: { ...body, reason: 'because' } };
}
