/** One line of a plot. */
export interface Line {
  readonly name: string;
  readonly points: readonly (readonly [number, number])[];
}

export interface PlotOptions {
  readonly title: string;
  readonly x: string;
  readonly y: string;
  readonly lines: readonly Line[];
}

const WIDTH = 720;
const HEIGHT = 360;
const LEFT = 64;
const RIGHT = 168;
const TOP = 36;
const BOTTOM = 48;
const TICKS = 5;

/** Colours that people with a weak sense of red and green tell apart. */
const COLOURS = [
  '#0072b2',
  '#d55e00',
  '#009e73',
  '#cc79a7',
  '#e69f00',
  '#56b4e9',
  '#000000',
  '#999999',
];

interface Frame {
  readonly right: number;
  readonly top: number;
  readonly toX: (value: number) => number;
  readonly toY: (value: number) => number;
}

/**
 * Draws lines over a common pair of axes that start at 0.
 *
 * @example
 * ```ts
 * plot({title: 'Overload', x: 'offered', y: 'useful', lines});
 * ```
 */
export function plot(options: PlotOptions): string {
  const frame = createFrame(options.lines);
  const parts = [
    text(LEFT, 20, options.title, 'font-weight="bold"'),
    ...drawAxes(frame, options),
    ...options.lines.flatMap((line, i) => drawLine(frame, line, i)),
  ];
  return [
    `<svg xmlns="http://www.w3.org/2000/svg" width="${WIDTH}" ` +
      `height="${HEIGHT}" font-family="sans-serif" font-size="12">`,
    '<rect width="100%" height="100%" fill="white"/>',
    ...parts,
    '</svg>\n',
  ].join('\n');
}

function createFrame(lines: readonly Line[]): Frame {
  const points = lines.flatMap(line => line.points);
  const right = roundUp(points.reduce((most, [x]) => Math.max(most, x), 0));
  const top = roundUp(points.reduce((most, [, y]) => Math.max(most, y), 0));
  const width = WIDTH - LEFT - RIGHT;
  const height = HEIGHT - TOP - BOTTOM;
  return {
    right,
    top,
    toX: value => LEFT + (value / right) * width,
    toY: value => HEIGHT - BOTTOM - (value / top) * height,
  };
}

/** The next number with one or two leading digits. */
function roundUp(value: number): number {
  if (!(value > 0)) return 1;
  const unit = 10 ** Math.floor(Math.log10(value)) / 2;
  return Math.ceil(value / unit) * unit;
}

function drawAxes(frame: Frame, {x, y}: PlotOptions): readonly string[] {
  const {toX, toY, right, top} = frame;
  const parts: string[] = [];
  for (let i = 0; i <= TICKS; i++) {
    const across = (right * i) / TICKS;
    const up = (top * i) / TICKS;
    const h = toY(up);
    parts.push(
      `<line x1="${LEFT}" x2="${toX(right)}" y1="${h}" y2="${h}" ` +
        'stroke="#ddd"/>',
      text(LEFT - 6, h + 4, label(up), 'text-anchor="end"'),
      text(toX(across), toY(0) + 16, label(across), 'text-anchor="middle"'),
    );
  }
  const middle = (TOP + HEIGHT - BOTTOM) / 2;
  const turned = `text-anchor="middle" transform="rotate(-90 14 ${middle})"`;
  parts.push(
    text(toX(right / 2), HEIGHT - 10, x, 'text-anchor="middle"'),
    text(14, middle, y, turned),
  );
  return parts;
}

function drawLine(frame: Frame, line: Line, index: number): readonly string[] {
  const colour = COLOURS[index % COLOURS.length]!;
  const points = line.points
    .map(([x, y]) => `${frame.toX(x).toFixed(1)},${frame.toY(y).toFixed(1)}`)
    .join(' ');
  const row = TOP + 10 + index * 18;
  const left = WIDTH - RIGHT + 12;
  return [
    `<polyline points="${points}" fill="none" stroke="${colour}" ` +
      'stroke-width="1.5"/>',
    `<line x1="${left}" x2="${left + 16}" y1="${row}" y2="${row}" ` +
      `stroke="${colour}" stroke-width="3"/>`,
    text(left + 22, row + 4, line.name),
  ];
}

function text(x: number, y: number, content: string, more = ''): string {
  return `<text x="${x}" y="${y}" ${more}>${escape(content)}</text>`;
}

function escape(content: string): string {
  return content.replace(/[&<>]/g, found => `&#${found.charCodeAt(0)};`);
}

function label(value: number): string {
  return String(Number(value.toPrecision(3)));
}
