import { ticketFold } from '@ragwortrudder/tickets';
import type { TicketState } from '@ragwortrudder/tickets';

interface Published {
  readonly id?: string;
  readonly body: unknown;
}

/** Folds bodies as entries of one stream, one record each. */
export function fold(published: readonly Published[], from = ticketFold.initial): TicketState {
  const start = Math.floor(from.position / 1_024) + 1;
  return published.reduce((state, { id, body }, index) => {
    const offset = start + index;
    const entry = { position: offset * 1_024, offset, id: id ?? `e${offset}`, time: offset, body };
    return ticketFold.apply(state, entry);
  }, from);
}

export function service(version: string, more: object = {}): object {
  return { kind: 'model', version, fencing: true, idempotent: true, classes: ['chat'], ...more };
}

export function ticket(number: number, against: number, content: object): Published {
  const body = { kind: 'ticket', ticket: { number, against, author: 'ops', ...content } };
  return { id: `ticket-${number}`, body };
}

export function quotes(number: number, against: number, version: string, more = {}): Published {
  return ticket(number, against, { services: { quotes: service(version, more) } });
}

export function word(number: number, said: 'done' | 'undone', by = 'node-1'): Published {
  const body = { kind: 'move-word', ticket: number, service: 'quotes', word: said, by };
  return { id: `word-${number}-${said}-${by}`, body: { ...body, reason: 'because' } };
}
