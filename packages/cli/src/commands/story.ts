import { text as readStream } from 'node:stream/consumers';
import type { CommandModule } from 'yargs';
import { RequestNotLogged } from '../errors/request-not-logged.ts';
import { print } from '../node/print.ts';
import { readText } from '../node/read-text.ts';
import { requestTimeline } from '../utils/request-timeline.ts';

interface StoryOptions {
  readonly request: string;
  readonly logs: readonly string[];
  readonly json: boolean;
}

/** `story`: prints the events of one request in order, taken from the logs of the nodes. */
export const storyCommand: CommandModule<object, StoryOptions> = {
  command: 'story <request> [logs..]',
  describe: 'print the events of a request in order, from the logs of nodes',
  builder: (args) =>
    args
      .positional('request', {
        type: 'string',
        demandOption: true,
        describe: 'id of the request',
      })
      .positional('logs', {
        type: 'string',
        array: true,
        default: [],
        describe: 'log files; reads standard input if none is given',
      })
      .option('json', { type: 'boolean', default: false, describe: 'print JSON for programs' })
      .example('$0 story 9c41d07be2a35f68 node-1.log node-2.log', 'from two files')
      .example('cat *.log | $0 story 9c41d07be2a35f68', 'from standard input'),
  handler: async ({ request, logs, json }) => {
    const texts =
      logs.length > 0 ? await Promise.all(logs.map(readText)) : [await readStream(process.stdin)];
    const timeline = requestTimeline(
      request,
      texts.flatMap((content) => content.split('\n')),
    );
    if (timeline.length === 0) throw new RequestNotLogged(request);
    print({ json, value: timeline, text: `${timeline.join('\n')}\n` });
  },
};
