import '../node/expected-warnings.ts';
import { hideBin } from 'yargs/helpers';
import { run } from '../node/run.ts';

void run(hideBin(process.argv)).then((code) => {
  process.exitCode = code;
});
