import type { CheckerOptions } from '../types/checker-options.ts';
import type { EventOf } from '../types/event-of.ts';
import type { History } from '../types/history.ts';
import type { Violation } from '../types/violation.ts';
import { eventsOf } from './events-of.ts';
import { groupBy } from './group-by.ts';

const PROMISE = 'ticket-in-force';
const DEFAULT_IN_FORCE_MS = 16_000;

type Ticket = EventOf<'ticket'>;

/**
 * Returns the time from which the bound applies to a node: the latest of the ticket's acceptance,
 * the node's start and the end of its faults. Returns undefined if the node stops or the history
 * ends before the bound has passed.
 */
function boundStart(history: History, node: EventOf<'start'>, accepted: Ticket, boundMs: number) {
  const faults = eventsOf(history, 'fault').filter(({ target }) => target === node.target);
  const end = history.at(-1)?.at ?? 0;
  let from = Math.max(accepted.at, node.at);
  for (const fault of faults) {
    if (fault.phase === 'start' && fault.at <= from + boundMs) {
      const faultEnd = faults.find(({ phase, at }) => phase === 'end' && at >= fault.at);
      from = Math.max(from, faultEnd?.at ?? Infinity);
    }
  }
  const deadline = from + boundMs;
  const isInterrupted = history.some(
    (event) =>
      event.at >= node.at &&
      event.at <= deadline &&
      ((event.type === 'stop' && event.target === node.target) ||
        (event.type === 'fault' && event.target === node.target && event.phase === 'once')),
  );
  return isInterrupted || end < deadline ? undefined : from;
}

function checkInForce(history: History, boundMs: number): readonly Violation[] {
  const tickets = eventsOf(history, 'ticket');
  const nodes = eventsOf(history, 'start').filter(({ role }) => role === 'node');
  const accepted = tickets.filter(({ state }) => state === 'accepted');
  return accepted.flatMap((ticket) =>
    nodes.flatMap((node) => {
      const from = boundStart(history, node, ticket, boundMs);
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
  const positions = groupBy(inForce, ({ node, scope }) => JSON.stringify([node, scope]));
  return [...positions].flatMap(([position, events]) =>
    events.flatMap((event, at) => {
      const previous = events[at - 1];
      if (!previous || previous.number <= event.number) return [];
      const message = `${position} went back from ticket ${previous.number} to ${event.number}`;
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
 * Checks that an accepted ticket, or a later one for the same scope, is in force on every node
 * within the bound, counted from its acceptance, the node's start or the end of a fault on the node,
 * whichever is last. Also checks that no node reverts to an earlier ticket and that no accepted
 * ticket is refused.
 */
export function ticketInForce(
  history: History,
  options: CheckerOptions = {},
): readonly Violation[] {
  const boundMs = options.ticketInForceMs ?? DEFAULT_IN_FORCE_MS;
  const tickets = eventsOf(history, 'ticket');
  return [...checkInForce(history, boundMs), ...checkReverts(tickets), ...checkAcceptance(tickets)];
}
