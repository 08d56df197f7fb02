"""Takes one mechanism out of a copy of the product, to see what it is worth.

python -m bench.ablate --name "kept connections" --checkout ../without-kept

The product has no switches for this: `ablations.json` names for each mechanism
the one place where it is put in, and what stands there without it.
"""

import json
import pathlib
from typing import Final, NamedTuple

import fire

ABLATIONS: Final = pathlib.Path(__file__).with_name('ablations.json')
PACKAGE: Final = 'hornbeamdeck'


class Ablation(NamedTuple):
    """One mechanism and how it is taken out.

    :param file: below the package.
    :param old: the text that puts the mechanism in; it stands there once.
    :param new: what stands there without it.
    """

    name: str
    file: str
    old: str
    new: str


def load_ablations() -> dict[str, Ablation]:
    """Read all, by name."""
    raw = json.loads(ABLATIONS.read_text())
    return {each['name']: Ablation(**each) for each in raw}


def take_out(ablation: Ablation, checkout: pathlib.Path) -> None:
    """Change a checkout.

    :raises ValueError: where the text does not stand there just once.
    """
    path = checkout / PACKAGE / ablation.file
    text = path.read_text()
    if text.count(ablation.old) != 1:
        raise ValueError(f'{ablation.name}: not found once in {path}')
    path.write_text(text.replace(ablation.old, ablation.new))


def main(name: str = '', checkout: str = '') -> None:
    """Take a mechanism out of a checkout; without a name, list them all."""
    ablations = load_ablations()
    if name:
        take_out(ablations[name], pathlib.Path(checkout))
        return
    for known in ablations:
        print(known)


if __name__ == '__main__':
    fire.Fire(main)
