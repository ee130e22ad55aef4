import type { CheckerOptions } from '../types/checker-options.ts';
import type { EventOf } from '../types/event-of.ts';
import type { History } from '../types/history.ts';
import type { Violation } from '../types/violation.ts';
import { eventsOf } from './events-of.ts';
import { groupBy } from './group-by.ts';

const PROMISE = 'ticket-in-force';
const DEFAULT_IN_FORCE_MS = 16_000;

type Ticket = EventOf<'ticket'>;

/** Time from which a node has to follow, or undefined when it stops or the history ends too soon. */
function startOfDuty(history: History, node: EventOf<'start'>, accepted: Ticket, boundMs: number) {
  const faults = eventsOf(history, 'fault').filter(({ target }) => target === node.target);
  const end = history.at(-1)?.at ?? 0;
  let from = Math.max(accepted.at, node.at);
  for (const fault of faults) {
    if (fault.phase === 'start' && fault.at <= from + boundMs) {
      const over = faults.find(({ phase, at }) => phase === 'end' && at >= fault.at);
      from = Math.max(from, over?.at ?? Infinity);
    }
  }
  const deadline = from + boundMs;
  const stops = history.some(
    (event) =>
      event.at >= node.at &&
      event.at <= deadline &&
      ((event.type === 'stop' && event.target === node.target) ||
        (event.type === 'fault' && event.target === node.target && event.phase === 'once')),
  );
  return stops || end < deadline ? undefined : from;
}

function checkForce(history: History, boundMs: number): readonly Violation[] {
  const tickets = eventsOf(history, 'ticket');
  const nodes = eventsOf(history, 'start').filter(({ role }) => role === 'node');
  const accepted = tickets.filter(({ state }) => state === 'accepted');
  return accepted.flatMap((ticket) =>
    nodes.flatMap((node) => {
      const from = startOfDuty(history, node, ticket, boundMs);
      if (from === undefined) return [];
      const isInForce = tickets.some(
        ({ state, node: at, scope, number, at: time }) =>
          state === 'in-force' &&
          at === node.target &&
          scope === ticket.scope &&
          number >= ticket.number &&
          time >= node.at &&
          time <= from + boundMs,
      );
      if (isInForce) return [];
      const message = `ticket ${ticket.number} is not in force at ${node.target} after ${boundMs} ms`;
      return [{ promise: PROMISE, message, events: [ticket, node] }];
    }),
  );
}

function checkReverts(tickets: readonly Ticket[]): readonly Violation[] {
  const inForce = tickets.filter(({ state }) => state === 'in-force');
  const places = groupBy(inForce, ({ node, scope }) => JSON.stringify([node, scope]));
  return [...places].flatMap(([place, events]) =>
    events.flatMap((event, at) => {
      const previous = events[at - 1];
      if (!previous || previous.number <= event.number) return [];
      const message = `${place} went back from ticket ${previous.number} to ${event.number}`;
      return [{ promise: PROMISE, message, events: [previous, event] }];
    }),
  );
}

function checkAcceptance(tickets: readonly Ticket[]): readonly Violation[] {
  const accepted = new Map(
    tickets.filter(({ state }) => state === 'accepted').map((ticket) => [ticket.number, ticket]),
  );
  return tickets.flatMap((ticket) => {
    const earlier = accepted.get(ticket.number);
    if (ticket.state !== 'refused' || !earlier) return [];
    const message = `ticket ${ticket.number} was accepted and refused`;
    return [{ promise: PROMISE, message, events: [earlier, ticket] }];
  });
}

/**
 * An accepted ticket, or a later one on the same scope, is in force at every node within the bound,
 * counted from its acceptance, the node's start or the end of a fault of the node; no node goes
 * back to an earlier ticket, and no accepted ticket is refused.
 */
export function ticketInForce(
  history: History,
  options: CheckerOptions = {},
): readonly Violation[] {
  const boundMs = options.ticketInForceMs ?? DEFAULT_IN_FORCE_MS;
  const tickets = eventsOf(history, 'ticket');
  return [...checkForce(history, boundMs), ...checkReverts(tickets), ...checkAcceptance(tickets)];
}
